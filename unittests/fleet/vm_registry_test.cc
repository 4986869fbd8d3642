#include "tanagervane/fleet/vm_registry.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"

namespace tanagervane {
namespace {

/// An in-memory store that answers calls in RunCalls(), in pages of three VMs.
class VmRegistryTest : public testing::Test {
 protected:
  static constexpr size_t kPageSize = 3;

  std::unique_ptr<VmRegistry> MakeRegistry(const std::string& id) {
    VmRegistryHooks hooks;
    hooks.create = [this, id](VmRegistryHooks::WriteDone done) {
      m_calls.emplace_back([this, id, done] {
        if (m_store_unavailable) {
          done(WriteResult::kUnknown);
          return;
        }
        done(m_objects.emplace(id, id + ":1").second ? WriteResult::kDone
                                                     : WriteResult::kConflict);
      });
    };
    hooks.replace = [this, id](uint64_t, uint64_t claim,
                               VmRegistryHooks::WriteDone done) {
      m_calls.emplace_back([this, id, claim, done] {
        m_objects[id] = id + ":1";
        m_claims.push_back(claim);
        done(WriteResult::kDone);
      });
    };
    hooks.remove = [this](std::string_view removed) {
      m_objects.erase(std::string(removed));
    };
    hooks.list = [this](std::string_view after, Freshness freshness,
                        VmRegistryHooks::PageDone done) {
      m_latest_reads += freshness == Freshness::kLatest ? 1 : 0;
      m_calls.emplace_back([this, after = std::string(after), done] {
        done(m_store_unavailable ? StoreResult::kUnavailable : StoreResult::kOk,
             Page(after));
      });
    };
    hooks.run_after = [this](Millis, std::function<void()> task) {
      m_tasks.push_back(std::move(task));
    };
    hooks.is_live = [this](std::string_view vm) {
      return m_live.contains(std::string(vm));
    };
    hooks.on_list_read = [] {};
    hooks.on_registered_before = [this] { ++m_registered_before; };
    hooks.on_register_failed = [this] { ++m_register_failures; };
    return std::make_unique<VmRegistry>(id, id + ":1", std::move(hooks));
  }

  ListedVmPage Page(const std::string& after) const {
    ListedVmPage page;
    for (auto it = m_objects.upper_bound(after); it != m_objects.end(); ++it) {
      if (page.vms.size() == kPageSize) {
        page.has_more = true;
        break;
      }
      page.vms.push_back({it->first, it->second, 7, 1});
      page.last_name = it->first;
    }
    return page;
  }

  void RunCalls(size_t max_steps = 100) {
    // Delayed tasks run after all store calls have been answered.
    for (; max_steps > 0; --max_steps) {
      auto& queue = m_calls.empty() ? m_tasks : m_calls;
      if (queue.empty()) {
        return;
      }
      const auto task_or_call = std::move(queue.front());
      queue.pop_front();
      task_or_call();
    }
  }

  std::map<std::string, std::string> m_objects;
  /// The claims that were written.
  std::vector<uint64_t> m_claims;
  std::set<std::string> m_live;
  std::deque<std::function<void()>> m_calls;
  std::deque<std::function<void()>> m_tasks;
  bool m_store_unavailable = false;
  size_t m_registered_before = 0;
  size_t m_register_failures = 0;
  size_t m_latest_reads = 0;
};

// The list must contain the VMs of all pages, not only of the first.
TEST_F(VmRegistryTest, AllPagesAreRead) {
  for (int i = 0; i < 10; ++i) {
    m_objects[fmt::format("vm{}", i)] = fmt::format("vm{}:1", i);
  }
  const auto registry = MakeRegistry("vm3");
  EXPECT_EQ(registry->listed_count(), std::nullopt);
  registry->Start(Millis(0));
  RunCalls();
  EXPECT_EQ(registry->listed_count(), 10u);
  EXPECT_EQ(registry->OtherAddresses().size(), 9u);
}

// A VM must register again after the store was unavailable, and after another
// VM removed its registration.
TEST_F(VmRegistryTest, RegistersUntilItIsListed) {
  m_store_unavailable = true;
  const auto registry = MakeRegistry("vm");
  registry->Start(Millis(0));
  RunCalls(8);
  EXPECT_GE(m_register_failures, 1u);
  m_store_unavailable = false;
  RunCalls();
  EXPECT_TRUE(m_objects.contains("vm"));
  m_objects.clear();
  for (int i = 0; i < 40; ++i) {
    registry->Refresh(Millis(15000) * i);
    RunCalls();
  }
  EXPECT_TRUE(m_objects.contains("vm"));
}

// Guards against a restarted VM that counts as new, and against a new one that
// counts as restarted because it registers again.
TEST_F(VmRegistryTest, EarlierRegistrationIsReportedOnce) {
  const auto registry = MakeRegistry("vm");
  registry->Start(Millis(0));
  RunCalls();
  registry->RegisterAgain(Millis(20'000));
  RunCalls();
  EXPECT_EQ(m_registered_before, 0u);
  const auto restarted = MakeRegistry("vm");
  restarted->Start(Millis(30'000));
  RunCalls();
  restarted->RegisterAgain(Millis(50'000));
  RunCalls();
  EXPECT_EQ(m_registered_before, 1u);
}

// Guards against a VM that stays unregistered after the store was restored from
// a copy without its registration, also if a write was in flight at that time.
TEST_F(VmRegistryTest, RegistersAgainWhenAskedTo) {
  const auto registry = MakeRegistry("vm");
  registry->Start(Millis(0));
  RunCalls();
  m_objects.clear();
  registry->RegisterAgain(Millis(20'000));
  ASSERT_EQ(m_calls.size(), 1u);
  RunCalls(1);
  EXPECT_TRUE(m_objects.contains("vm"));
  registry->RegisterAgain(Millis(21'000));
  registry->RegisterAgain(Millis(21'000));
  RunCalls(1);  // The write of the earlier era ends with a conflict.
  m_objects.clear();
  RunCalls();
  EXPECT_TRUE(m_objects.contains("vm"));
  registry->Deregister();
  registry->RegisterAgain(Millis(30'000));
  RunCalls();
  EXPECT_FALSE(m_objects.contains("vm"));
}

// Two VMs that start at the same time must discover each other without waiting
// for the next Refresh().
TEST_F(VmRegistryTest, SimultaneousStartsFindEachOther) {
  const auto first = MakeRegistry("a");
  const auto second = MakeRegistry("b");
  first->Start(Millis(0));
  second->Start(Millis(0));
  RunCalls();
  EXPECT_GE(first->OtherAddresses().size() + second->OtherAddresses().size(),
            1u);
}

// A restart of the whole fleet must not overload the store: VMs that know live
// peers through gossip do not read the latest list.
TEST_F(VmRegistryTest, RestartOfFleetReadsStaleLists) {
  for (int i = 0; i < 30; ++i) {
    m_objects[fmt::format("vm{:02}", i)] = "x:1";
    m_live.insert(fmt::format("vm{:02}", i));
  }
  const auto registry = MakeRegistry("vm07");
  registry->Start(Millis(0));
  RunCalls(1000);
  for (int i = 1; i <= 10; ++i) {
    registry->Refresh(Millis(15000) * i);
    RunCalls(1000);
  }
  EXPECT_EQ(registry->listed_count(), 30u);
  EXPECT_EQ(m_latest_reads, 0u);
}

// Guards against a restart that removes the claim of the previous process, and
// against a claim that replaces a registration which changed meanwhile.
TEST_F(VmRegistryTest, ClaimsAreWrittenToTheListedRevision) {
  m_objects["vm"] = "vm:1";
  const auto registry = MakeRegistry("vm");
  registry->Start(Millis(0));
  RunCalls();
  EXPECT_EQ(m_registered_before, 1u);
  EXPECT_TRUE(m_claims.empty());
  std::vector<bool> written;
  const auto record = [&](bool is_written) { written.push_back(is_written); };
  registry->WriteClaim(4, record);
  RunCalls();
  // The revision after the write is not known yet.
  registry->WriteClaim(5, record);
  EXPECT_EQ(written, (std::vector<bool>{true, false}));
  registry->ReadLatest(Millis(0));
  RunCalls();
  registry->WriteClaim(6, record);
  RunCalls();
  EXPECT_EQ(written, (std::vector<bool>{true, false, true}));
  EXPECT_EQ(m_claims, (std::vector<uint64_t>{4, 6}));
}

// Two VMs that read only stale lists might never discover each other.
TEST_F(VmRegistryTest, VmWithoutLivePeersReadsLatestList) {
  const auto registry = MakeRegistry("a");
  registry->Start(Millis(0));
  RunCalls();
  EXPECT_GE(m_latest_reads, 1u);
}

// Registrations of dead VMs must not accumulate, and a partitioned VM must not
// remove the registrations of live ones.
TEST_F(VmRegistryTest, DeadVmsAreRemovedByLowestLiveId) {
  for (const char* id : {"a", "b", "c", "gone"}) {
    m_objects[id] = "x:1";
  }
  m_live = {"a", "b", "c"};
  const auto first = MakeRegistry("a");
  const auto second = MakeRegistry("b");
  const auto refresh = [&](VmRegistry& registry, Millis now) {
    registry.Refresh(now);
    RunCalls();
  };
  for (const Millis now : {Millis(0), Millis(300'000), Millis(700'000)}) {
    refresh(*second, now);
  }
  EXPECT_TRUE(m_objects.contains("gone")) << "only VM a removes registrations";
  m_live = {};
  for (const Millis now : {Millis(0), Millis(300'000), Millis(700'000)}) {
    refresh(*first, now);
  }
  EXPECT_EQ(m_objects.size(), 4u) << "VM a may itself be cut off";
  m_live = {"a", "b", "c"};
  refresh(*first, Millis(700'000));
  EXPECT_EQ(m_objects.count("gone"), 0u);
  EXPECT_EQ(m_objects.size(), 3u);
}

// A VM that is stopping must not register again.
TEST_F(VmRegistryTest, DeregistrationIsFinal) {
  const auto registry = MakeRegistry("vm");
  registry->Start(Millis(0));
  RunCalls();
  registry->Deregister();
  registry->Refresh(Millis(15000));
  RunCalls();
  EXPECT_TRUE(m_objects.empty());
}

}  // namespace
}  // namespace tanagervane
