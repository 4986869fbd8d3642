// The limit and the service of FleetQuota in a simulated fleet.

#include "tanagervane/quota/fleet_quota.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gtest/gtest.h"
#include "quota_fleet.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/quota/rendezvous.h"

namespace tanagervane {
namespace {

/// Runs until shares have been lent.
constexpr Millis kSettleTime{8000};

/// Time for the last questions to be answered.
constexpr Millis kAnswerTime{100};

/// Returns the admissions of the fleet over those of an ideal counter.
double AdmittedFraction(const TenantSpec& tenant,
                        double demand_per_second,
                        size_t vms,
                        size_t first,
                        size_t used_vms,
                        uint64_t seed) {
  Random random(seed);
  QuotaFleet fleet({tenant}, seed);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  fleet.Run(kSettleTime);
  IdealCounter ideal(tenant);
  double ideally_admitted = 0;
  Demand demand(fleet, tenant.name, demand_per_second, random);
  fleet.Run(Millis(40'000), [&] {
    const int sent = demand.Step(first, used_vms);
    for (int i = 0; i < sent; ++i) {
      ideally_admitted += ideal.Admit(fleet.now()) ? 1 : 0;
    }
  });
  fleet.Run(kAnswerTime);
  EXPECT_LE(fleet.MaxInWindow(tenant.name), WindowBound(tenant, QuotaBounds()));
  return static_cast<double>(fleet.admitted(tenant.name).size()) /
         ideally_admitted;
}

// Guards against refusals of a tenant within its allowance whose callers are
// on two VMs only, and against a limit that is exceeded there.
TEST(FleetQuotaTest, CallersOnTwoOfManyVms) {
  const TenantSpec tenant = MakeTenant("t", 30, 30);
  EXPECT_GE(AdmittedFraction(tenant, 19, 25, 3, 2, 1), 0.95);
  EXPECT_GE(AdmittedFraction(tenant, 200, 25, 3, 2, 2), 0.95);
}

// Guards against a share that is too small for whole requests.
TEST(FleetQuotaTest, RateBelowOneForEachVm) {
  const TenantSpec tenant = MakeTenant("t", 0.5, 2);
  EXPECT_GE(AdmittedFraction(tenant, 0.4, 25, 0, 25, 3), 0.95);
}

TEST(FleetQuotaTest, SmallFleets) {
  const TenantSpec tenant = MakeTenant("t", 20, 10);
  for (size_t vms = 1; vms <= 4; ++vms) {
    EXPECT_GE(AdmittedFraction(tenant, 15, vms, 0, vms, vms), 0.95) << vms;
    EXPECT_GE(AdmittedFraction(tenant, 80, vms, 0, 1, vms), 0.95) << vms;
  }
}

// Guards against a tenant that is refused because another one of the fleet's
// many exceeds its allowance, or because its rate is small.
TEST(FleetQuotaTest, ManyTenants) {
  constexpr size_t kTenants = 74;
  std::vector<TenantSpec> tenants;
  for (size_t i = 0; i < kTenants; ++i) {
    const double rate = 47.0 * std::pow(static_cast<double>(i + 1), -1.2);
    tenants.push_back(MakeTenant("tenant-" + std::to_string(i),
                                 std::max(rate, 0.2), std::max(rate, 1.0)));
  }
  Random random(5);
  QuotaFleet fleet(tenants, 5);
  for (size_t i = 0; i < 25; ++i) {
    fleet.Join();
  }
  fleet.Run(kSettleTime);
  std::vector<Demand> demands;
  for (size_t i = 0; i < kTenants; ++i) {
    const double factor = i == 3 ? 7.5 / 1.6 : 1 / 1.6;
    demands.emplace_back(fleet, tenants[i].name, tenants[i].rate * factor,
                         random);
  }
  std::vector<double> ideally_admitted(kTenants);
  std::vector<IdealCounter> ideal(tenants.begin(), tenants.end());
  fleet.Run(Millis(20'000), [&] {
    for (size_t i = 0; i < kTenants; ++i) {
      const int sent = demands[i].Step(0, 25);
      for (int k = 0; k < sent; ++k) {
        ideally_admitted[i] += ideal[i].Admit(fleet.now()) ? 1 : 0;
      }
    }
  });
  fleet.Run(kAnswerTime);
  for (size_t i = 0; i < kTenants; ++i) {
    const std::string& name = tenants[i].name;
    EXPECT_GE(static_cast<double>(fleet.admitted(name).size()),
              0.95 * ideally_admitted[i])
        << name;
    EXPECT_LE(fleet.MaxInWindow(name), WindowBound(tenants[i], QuotaBounds()));
  }
}

// Guards against refusals while shares follow the demand to other VMs.
TEST(FleetQuotaTest, DemandMovesToOtherVms) {
  const TenantSpec tenant = MakeTenant("t", 30, 10);
  Random random(7);
  QuotaFleet fleet({tenant}, 7);
  for (size_t i = 0; i < 25; ++i) {
    fleet.Join();
  }
  fleet.Run(kSettleTime);
  IdealCounter ideal(tenant);
  double ideally_admitted = 0;
  Demand demand(fleet, "t", 40, random);
  for (size_t first : {0U, 20U, 10U}) {
    fleet.Run(Millis(5000), [&] {
      const int sent = demand.Step(first, 2);
      for (int i = 0; i < sent; ++i) {
        ideally_admitted += ideal.Admit(fleet.now()) ? 1 : 0;
      }
    });
  }
  fleet.Run(kAnswerTime);
  EXPECT_GE(static_cast<double>(fleet.admitted("t").size()),
            0.85 * ideally_admitted);
}

/// Does something random to the fleet or its network.
void Disturb(QuotaFleet& fleet, Random& random) {
  const size_t vm = random.NextBelow(fleet.size());
  switch (random.NextBelow(12)) {
    case 0:
      fleet.Kill(vm);
      break;
    case 1:
    case 2:
      fleet.Start(vm);
      break;
    case 3:
      fleet.Pause(vm);
      break;
    case 4:
    case 5:
      fleet.Resume(vm);
      break;
    case 6:
      fleet.SetPart(vm, static_cast<int>(random.NextBelow(3)));
      break;
    case 7:
      for (size_t i = 0; i < fleet.size(); ++i) {
        fleet.SetPart(i, 0);
      }
      break;
    case 8:
      if (fleet.size() < 12) {
        fleet.Join();
      }
      break;
    case 9:
      fleet.SetReadsList(vm, random.NextBelow(2) == 0);
      break;
    case 10:
      fleet.network().loss = random.NextDouble() * 0.4;
      break;
    default:
      fleet.network().max_delay =
          Millis(random.NextBelow(3) == 0 ? 1500 * random.NextDouble() : 1.5);
      break;
  }
}

// Guards against more admissions in a window than the bound allows, whatever
// happens to VMs and messages. Without slack and overshoot, a share that is
// used twice for a moment exceeds the bound.
RC_GTEST_PROP(FleetQuotaProperty, BoundHolds, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  Random random(seed);
  QuotaBounds bounds;
  const bool is_tight = random.NextBelow(4) != 0;
  if (is_tight) {
    bounds.overshoot = 0;
    bounds.slack = 0;
  }
  const double max_burst = is_tight ? 3 : 60;
  const std::vector<TenantSpec> tenants = {
      MakeTenant("a", 5 + random.NextDouble() * 60,
                 1 + random.NextDouble() * max_burst),
      MakeTenant("b", 0.2 + random.NextDouble() * 4,
                 1 + random.NextDouble() * 3)};
  QuotaFleet fleet(tenants, random.Next(), bounds);
  fleet.SetReturnOdds(random.NextBelow(3) == 0 ? 0.2 : 0);
  const size_t vms = 1 + random.NextBelow(6);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  const double excess = random.NextBelow(4) == 0 ? 1 : 10;
  Demand a(fleet, "a", tenants[0].rate * excess, random);
  Demand b(fleet, "b", tenants[1].rate * excess, random);
  const bool is_bursty = random.NextBelow(3) == 0;
  const bool is_everywhere = random.NextBelow(4) != 0;
  for (int i = 0; i < 20; ++i) {
    const bool sends = !is_bursty || i % 4 == 0;
    const size_t first = is_everywhere ? 0 : random.NextBelow(fleet.size());
    const size_t left = fleet.size() - first;
    const size_t count = is_everywhere ? left : 1 + random.NextBelow(left);
    fleet.Run(Millis(200 + 3000 * random.NextDouble()), [&] {
      if (sends) {
        a.Step(first, count);
        b.Step(first, count);
      }
    });
    Disturb(fleet, random);
  }
  for (const TenantSpec& tenant : tenants) {
    RC_ASSERT(static_cast<double>(fleet.MaxInWindow(tenant.name)) <=
              WindowBound(tenant, bounds));
  }
}

// Guards against a VM that uses a share which a VM beyond a partition does not
// know of.
RC_GTEST_PROP(FleetQuotaProperty,
              BoundHoldsForVmsThatJoinBeyondAPartition,
              ()) {
  Random random(*rc::gen::arbitrary<uint64_t>());
  QuotaBounds bounds;
  bounds.overshoot = 0;
  bounds.slack = 0;
  const TenantSpec tenant = MakeTenant("t", 40, 2);
  QuotaFleet fleet({tenant}, random.Next(), bounds);
  const size_t vms = 1 + random.NextBelow(4);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  Demand demand(fleet, "t", 400, random);
  const auto step = [&] { demand.Step(0, fleet.size()); };
  fleet.Run(kSettleTime, step);
  for (size_t i = 0; i < vms; ++i) {
    fleet.SetPart(i, static_cast<int>(random.NextBelow(2)));
    fleet.SetReadsList(i, random.NextBelow(2) == 0);
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Join();
    fleet.SetPart(fleet.size() - 1, static_cast<int>(random.NextBelow(2)));
    fleet.Run(Millis(4000), step);
  }
  RC_ASSERT(static_cast<double>(fleet.MaxInWindow("t")) <=
            WindowBound(tenant, bounds));
}

// Guards against leases that the pool VM counts from the answer, and shares
// that are lent to two pool VMs, when messages are late.
RC_GTEST_PROP(FleetQuotaProperty, BoundHoldsWithLateMessages, ()) {
  Random random(*rc::gen::arbitrary<uint64_t>());
  QuotaBounds bounds;
  bounds.overshoot = 0;
  bounds.slack = 0;
  const TenantSpec tenant = MakeTenant("t", 40, 2);
  QuotaFleet fleet({tenant}, random.Next(), bounds);
  const size_t vms = 2 + random.NextBelow(4);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  Demand demand(fleet, "t", 400, random);
  const auto step = [&] { demand.Step(0, vms); };
  fleet.Run(kSettleTime, step);
  fleet.network().max_delay = Millis(700);
  for (int i = 0; i < 12; ++i) {
    fleet.Run(Millis(1500 + 1500 * random.NextDouble()), step);
    // Each change gives the slots to other pool VMs.
    for (size_t vm = 0; vm < vms; ++vm) {
      fleet.SetPart(vm, static_cast<int>(random.NextBelow(2)));
    }
  }
  RC_ASSERT(static_cast<double>(fleet.MaxInWindow("t")) <=
            WindowBound(tenant, bounds));
}

// Guards against the burst of a new process while its predecessor's share is
// still lent.
RC_GTEST_PROP(FleetQuotaProperty, BoundHoldsThroughRestarts, ()) {
  Random random(*rc::gen::arbitrary<uint64_t>());
  QuotaBounds bounds;
  bounds.overshoot = 0;
  bounds.slack = 0;
  const TenantSpec tenant = MakeTenant("t", 40, 10);
  QuotaFleet fleet({tenant}, random.Next(), bounds);
  const size_t vms = 1 + random.NextBelow(4);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  Demand demand(fleet, "t", 400, random);
  const auto step = [&] { demand.Step(0, vms); };
  fleet.Run(kSettleTime, step);
  for (int i = 0; i < 12; ++i) {
    fleet.Start(random.NextBelow(vms));
    fleet.Run(Millis(3000 * random.NextDouble()), step);
  }
  RC_ASSERT(static_cast<double>(fleet.MaxInWindow("t")) <=
            WindowBound(tenant, bounds));
}

// Guards against tokens of a higher limit that are used after it was lowered.
RC_GTEST_PROP(FleetQuotaProperty, LoweredLimitBinds, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  Random random(seed);
  const TenantSpec high = MakeTenant("t", 40, 100);
  const TenantSpec low = MakeTenant("t", 5, 2);
  QuotaFleet fleet({high}, random.Next());
  const size_t vms = 1 + random.NextBelow(6);
  for (size_t i = 0; i < vms; ++i) {
    fleet.Join();
  }
  Demand demand(fleet, "t", 200, random);
  fleet.Run(kSettleTime);
  const Millis apply_bound{5000};
  fleet.SetTenants({low}, apply_bound);
  const Millis from = fleet.now() + apply_bound;
  fleet.Run(Millis(15'000), [&] { demand.Step(0, vms); });
  RC_ASSERT(static_cast<double>(fleet.MaxInWindow("t", from)) <=
            WindowBound(low, QuotaBounds()));
}

FleetQuotaHooks IgnoreStore() {
  FleetQuotaHooks hooks;
  hooks.write_claim = [](uint64_t) {};
  hooks.read_latest_list = [] {};
  return hooks;
}

// Guards against a lease that the pool VM counts from the answer: the owner may
// use its share again before.
TEST(FleetQuotaTest, LeaseEndsATermAfterTheQuestion) {
  std::optional<ShareRequest> question;
  FleetQuotaHooks hooks = IgnoreStore();
  hooks.send = [&](std::string_view, const QuotaMessage& message) {
    if (const auto* request = std::get_if<ShareRequest>(&message.body)) {
      question = *request;
    }
  };
  FleetQuota quota("vm-1", 1, QuotaBounds(), hooks, Millis(0));
  // One of the slots is pooled by this VM.
  std::vector<TenantSpec> tenants;
  tenants.reserve(20);
  for (int i = 0; i < 20; ++i) {
    tenants.push_back(MakeTenant("t" + std::to_string(i), 10, 10));
  }
  quota.SetTenants(tenants, Millis(0));
  quota.SetLive({"vm-2"}, false, Millis(0));
  quota.OnTick(Millis(1000));
  ASSERT_TRUE(question && question->slots != 0);
  const auto pooled = std::ranges::find_if(tenants, [&](const auto& tenant) {
    return (question->slots >> SlotOf(tenant.name) & 1) != 0;
  });
  quota.OnMessage({"vm-2", ShareGrant{question->nonce, question->slots, 2, {}}},
                  Millis(2000));
  EXPECT_EQ(quota.UsableShare(pooled->name, Millis(999) + kLeaseTerm), 0.5);
  EXPECT_EQ(quota.UsableShare(pooled->name, Millis(1000) + kLeaseTerm), 0);
  // An answer after the term starts no lease.
  quota.OnMessage({"vm-2", ShareGrant{question->nonce, question->slots, 2, {}}},
                  Millis(1000) + kLeaseTerm);
  EXPECT_EQ(quota.UsableShare(pooled->name, Millis(1000) + kLeaseTerm), 0);
}

// Guards against tokens that a VM gets for the time in which its share was
// lent.
TEST(FleetQuotaTest, ShareReturnsWithoutTokens) {
  const TenantSpec tenant = MakeTenant("t", 20, 100);
  QuotaFleet fleet({tenant}, 3);
  fleet.Join();
  fleet.Join();
  fleet.Run(Millis(20'000));
  const size_t owner = fleet.quota(0).UsableShare("t", fleet.now()) > 0 ? 1 : 0;
  fleet.SetPart(owner, 1);
  fleet.Run(Millis(4000));
  EXPECT_EQ(fleet.quota(owner).UsableShare("t", fleet.now()), 0.5);
  for (int i = 0; i < 100; ++i) {
    fleet.Send(owner, "t");
  }
  // The share is back for at most 3 s, in which 32.4 tokens accrue.
  EXPECT_LE(fleet.admitted("t").size(), 33);
}

// Guards against a VM that waits after its start until gossip has found the VMs
// of the list, and has no share meanwhile.
TEST(FleetQuotaTest, ListedVmsAreAskedBeforeGossipFindsThem) {
  std::vector<std::string> asked;
  FleetQuotaHooks hooks = IgnoreStore();
  hooks.send = [&](std::string_view vm, const QuotaMessage& message) {
    if (std::holds_alternative<ShareRequest>(message.body)) {
      asked.emplace_back(vm);
    }
  };
  FleetQuota quota("vm-1", 1, QuotaBounds(), hooks, Millis(0));
  quota.SetTenants(std::vector<TenantSpec>{MakeTenant("t", 10, 10)}, Millis(0));
  CensusList listed;
  listed.entries = {{"vm-1", 0}, {"vm-2", 0}, {"vm-3", 0}};
  quota.OnList(listed, Millis(0));
  quota.SetLive({"vm-2"}, false, Millis(0));
  quota.OnTick(Millis(10));
  EXPECT_EQ(asked, (std::vector<std::string>{"vm-2", "vm-3"}));
  quota.OnMessage({"vm-3", ShareRequest{1, 0, {.count = 3, .floor = 0}}},
                  Millis(20));
  asked.clear();
  quota.OnTick(Millis(1000));
  EXPECT_EQ(asked, std::vector<std::string>{"vm-2"});
}

// Guards against work and messages of deployments without limits.
TEST(FleetQuotaTest, NothingIsSentWithoutLimits) {
  int sent = 0;
  FleetQuotaHooks hooks = IgnoreStore();
  hooks.send = [&](std::string_view, const QuotaMessage&) { ++sent; };
  FleetQuota quota("vm-1", 1, QuotaBounds(), hooks, Millis(0));
  quota.SetTenants(std::vector<TenantSpec>{MakeTenant("t", 0, 0)}, Millis(0));
  quota.SetLive({"vm-2"}, false, Millis(0));
  quota.OnTick(Millis(1000));
  EXPECT_EQ(sent, 0);
  EXPECT_FALSE(quota.NextTimer());
  EXPECT_FALSE(quota.IsLimited("t"));
}

}  // namespace
}  // namespace tanagervane
