// The limit and the service of FleetQuota when VMs are lost for good, replaced,
// paused or never existed.

#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "quota_fleet.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

/// A fleet serves tenants within their allowance at most this long after its
/// processes are back.
constexpr Millis kRecoveryTime{15'000};

/// Without slack and overshoot, a share that is used twice exceeds the bound.
QuotaBounds TightBounds() {
  QuotaBounds bounds;
  bounds.overshoot = 0;
  bounds.slack = 0;
  return bounds;
}

/// A fleet whose tenant is asked for three times its allowance all the time.
class LostVms {
 public:
  LostVms(size_t vms, uint64_t seed)
      : m_random(seed),
        m_tenant(MakeTenant("t", 40, 10)),
        m_fleet({m_tenant}, seed, TightBounds()) {
    for (size_t i = 0; i < vms; ++i) {
      m_fleet.Join();
      m_used.push_back(i);
    }
    Run(Millis(8000));
  }

  QuotaFleet& fleet() { return m_fleet; }
  const std::vector<size_t>& used() const { return m_used; }

  void Run(Millis duration) {
    m_fleet.Run(duration, [&] {
      m_due += 3 * m_tenant.rate / 1000;
      for (; m_due >= 1; m_due -= 1) {
        m_fleet.Send(m_used[m_random.NextBelow(m_used.size())], m_tenant.name);
      }
    });
  }

  /// Ends the first `count` VMs that are in use, for good.
  void Lose(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_fleet.Kill(m_used.front());
      m_used.erase(m_used.begin());
    }
  }

  void Replace(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      m_fleet.Join();
      m_used.push_back(m_fleet.size() - 1);
    }
  }

  void RestartAll() {
    for (const size_t vm : m_used) {
      m_fleet.Start(vm);
    }
  }

  void RestartInTurn() {
    for (const size_t vm : m_used) {
      m_fleet.Start(vm);
      Run(Millis(3000));
    }
  }

  /// The part of the allowance that is admitted in 10 s, after kRecoveryTime.
  double ServedAfterRecovery() {
    Run(kRecoveryTime);
    const size_t before = m_fleet.admitted("t").size();
    Run(Millis(10'000));
    return static_cast<double>(m_fleet.admitted("t").size() - before) /
           (10 * m_tenant.rate);
  }

  bool HoldsBound() {
    return static_cast<double>(m_fleet.MaxInWindow("t")) <=
           WindowBound(m_tenant, TightBounds());
  }

 private:
  Random m_random;
  TenantSpec m_tenant;
  QuotaFleet m_fleet;
  std::vector<size_t> m_used;
  double m_due = 0;
};

// Guards against a fleet that refuses all tenants with limits after a restart
// of all, because a VM that was lost for good remains listed.
TEST(LostVmsTest, OthersUseTheirSharesAfterARestartOfAll) {
  for (size_t lost = 1; lost <= 4; ++lost) {
    LostVms plays(8, lost);
    plays.Lose(lost);
    plays.RestartAll();
    const double left = static_cast<double>(8 - lost) / 8;
    EXPECT_GE(plays.ServedAfterRecovery(), 0.9 * left) << lost;
    EXPECT_TRUE(plays.HoldsBound()) << lost;
  }
}

TEST(LostVmsTest, LostTwice) {
  LostVms plays(8, 11);
  plays.Lose(2);
  plays.RestartAll();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.9 * 6 / 8);
  plays.Lose(2);
  plays.RestartAll();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.9 * 4 / 8);
  EXPECT_TRUE(plays.HoldsBound());
}

// Guards against a replacement at a new address without a share, and against
// refusals after a planned restart in turn that follows.
TEST(LostVmsTest, ReplacedAndRestartedInTurn) {
  LostVms plays(4, 12);
  plays.Lose(1);
  plays.Run(Millis(3000));
  plays.Replace(1);
  EXPECT_GE(plays.ServedAfterRecovery(), 0.6);
  plays.RestartInTurn();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.6);
  plays.RestartAll();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.6);
  EXPECT_TRUE(plays.HoldsBound());
}

TEST(LostVmsTest, HalfReplaced) {
  LostVms plays(4, 13);
  plays.Lose(2);
  plays.Replace(2);
  EXPECT_GE(plays.ServedAfterRecovery(), 0.4);
  plays.RestartAll();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.4);
  EXPECT_TRUE(plays.HoldsBound());
}

// Guards against a VM that runs again after a pause and uses a share which the
// others have divided among themselves.
TEST(LostVmsTest, PausedWhileAllOthersRestart) {
  LostVms plays(4, 14);
  plays.fleet().Pause(0);
  plays.Run(Millis(1000));
  for (size_t vm = 1; vm < 4; ++vm) {
    plays.fleet().Start(vm);
  }
  plays.Run(Millis(10'000));
  plays.fleet().Resume(0);
  EXPECT_GE(plays.ServedAfterRecovery(), 0.9);
  EXPECT_TRUE(plays.HoldsBound());
}

// Guards against a VM that removes its registration and still uses its share,
// which a VM that starts then takes as well.
TEST(LostVmsTest, ReplacementStartsWhileTheOldVmDrains) {
  LostVms plays(3, 16);
  plays.fleet().Leave(0);
  plays.Replace(1);
  plays.Run(Millis(6000));
  plays.Lose(1);
  EXPECT_GE(plays.ServedAfterRecovery(), 0.6);
  EXPECT_TRUE(plays.HoldsBound());
}

// Guards against a fleet that waits ever longer for the store, and so for long
// after the store is back.
TEST(LostVmsTest, ServesSoonAfterAnOutageOfTheStore) {
  LostVms plays(3, 17);
  plays.RestartAll();
  for (const size_t vm : plays.used()) {
    plays.fleet().SetReadsList(vm, false);
  }
  plays.Run(Millis(40'000));
  for (const size_t vm : plays.used()) {
    plays.fleet().SetReadsList(vm, true);
  }
  plays.Run(Millis(3000));
  for (const size_t vm : plays.used()) {
    EXPECT_GT(plays.fleet().quota(vm).owned_share(), 0);
  }
}

// Guards against a registration that nobody owns, which would block the others.
TEST(LostVmsTest, StrayRegistrations) {
  LostVms plays(3, 15);
  plays.fleet().Register(std::nullopt);
  plays.fleet().Register(0);
  plays.RestartAll();
  EXPECT_GE(plays.ServedAfterRecovery(), 0.5);
  EXPECT_TRUE(plays.HoldsBound());
}

// Guards against more admissions than the bound allows, whatever is lost.
RC_GTEST_PROP(LostVmsProperty, BoundHolds, ()) {
  Random random(*rc::gen::arbitrary<uint64_t>());
  LostVms plays(2 + random.NextBelow(5), random.Next());
  for (int i = 0; i < 10; ++i) {
    switch (random.NextBelow(7)) {
      case 0:
        plays.Lose(random.NextBelow(plays.used().size()));
        break;
      case 1:
        plays.Replace(1 + random.NextBelow(2));
        break;
      case 2:
        plays.RestartAll();
        break;
      case 3:
        plays.fleet().Start(
            plays.used()[random.NextBelow(plays.used().size())]);
        break;
      case 4:
        plays.fleet().Leave(
            plays.used()[random.NextBelow(plays.used().size())]);
        plays.Replace(1);
        break;
      case 5:
        for (const size_t vm : plays.used()) {
          plays.fleet().SetPart(vm, static_cast<int>(random.NextBelow(2)));
        }
        break;
      default:
        plays.fleet().SetReadsList(
            plays.used()[random.NextBelow(plays.used().size())],
            random.NextBelow(2) == 0);
        break;
    }
    plays.Run(Millis(4000 * random.NextDouble()));
  }
  RC_ASSERT(plays.HoldsBound());
}

}  // namespace
}  // namespace tanagervane
