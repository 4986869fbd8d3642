// Tests the lookup of tenants and the decision on a request's key.

#include "tanagervane/identity/identity.h"

#include <map>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

TenantSpec MakeTenant(std::string name, std::vector<std::string> keys) {
  TenantSpec tenant;
  tenant.name = std::move(name);
  tenant.keys = std::move(keys);
  return tenant;
}

class IdentityTest : public testing::Test {
 protected:
  static IdentityVerdict VerdictOf(const TenantDirectory& directory,
                                   const PresentedKey& key,
                                   const ConfigCertainty& certainty = {}) {
    return Identify(directory, false, key, certainty).verdict;
  }

  const std::vector<TenantSpec> m_tenants = {MakeTenant("a", {"k1", "k2"}),
                                             MakeTenant("b", {"k3"})};
  const TenantDirectory m_directory{m_tenants};
};

// Guards against keys of a tenant that are lost or given to another tenant.
RC_GTEST_PROP(TenantDirectoryProperty, FindsExactlyTheKeysOfTheTenants, ()) {
  const auto keys = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("abc"))));
  const auto tenant_count = *rc::gen::inRange<size_t>(1, 5);
  std::vector<TenantSpec> tenants;
  for (size_t i = 0; i < tenant_count; ++i) {
    tenants.push_back(MakeTenant(fmt::format("t{}", i), {}));
  }
  for (size_t i = 0; i < keys.size(); ++i) {
    tenants[i * tenant_count / keys.size()].keys.push_back(keys[i]);
  }
  std::map<std::string, std::string> expected;
  for (const TenantSpec& tenant : tenants) {
    for (const std::string& key : tenant.keys) {
      if (!key.empty()) {
        expected.emplace(key, tenant.name);
      }
    }
  }
  const TenantDirectory directory(tenants);
  RC_ASSERT(directory.key_count() == expected.size());
  for (const auto& [key, name] : expected) {
    RC_ASSERT(directory.Find(key) != nullptr);
    RC_ASSERT(directory.Find(key)->name == name);
  }
  const std::string other =
      *rc::gen::container<std::string>(rc::gen::elementOf(std::string("abc")));
  RC_ASSERT((directory.Find(other) != nullptr) == expected.contains(other));
}

// Guards against a directory that takes a notable part of the 112 MB of the
// smallest VM.
TEST(TenantDirectoryTest, TenThousandKeysTakeLessThanAMegabyte) {
  std::vector<TenantSpec> tenants;
  size_t keys = 0;
  for (size_t i = 0; i < 100; ++i) {
    tenants.push_back(MakeTenant(fmt::format("tenant-{}", i), {}));
    for (size_t j = 0; j < 100; ++j) {
      tenants.back().keys.push_back(fmt::format("{:032}", keys++));
    }
  }
  const TenantDirectory directory(tenants);
  EXPECT_EQ(directory.key_count(), 10'000U);
  RecordProperty("bytes", static_cast<int>(directory.memory_bytes()));
  EXPECT_LT(directory.memory_bytes(), size_t{1'000'000});
}

// The configuration's key lists must not be held twice.
TEST_F(IdentityTest, TenantsOfTheDirectoryHoldNoKeys) {
  EXPECT_TRUE(m_directory.Find("k1")->keys.empty());
  EXPECT_TRUE(m_directory.tenants()[0].keys.empty());
}

// Guards against a caller that gets in without its key, with a part of a key or
// with an empty one.
TEST_F(IdentityTest, OnlyTheWholeKeyIsAccepted) {
  for (const char* key : {"k1", "k2"}) {
    const Identity identity = Identify(m_directory, false, {1, key}, {});
    EXPECT_EQ(identity.verdict, IdentityVerdict::kTenant);
    EXPECT_EQ(identity.tenant->name, "a");
  }
  for (const char* key : {"", "k", "K1", "k1 ", "k1,k2", "k1k2"}) {
    EXPECT_EQ(VerdictOf(m_directory, {1, key}),
              IdentityVerdict::kUnauthenticated)
        << key;
  }
  EXPECT_EQ(VerdictOf(m_directory, {}), IdentityVerdict::kUnauthenticated);
  const std::vector<TenantSpec> empty_key = {MakeTenant("a", {""})};
  EXPECT_EQ(VerdictOf(TenantDirectory(empty_key), {1, ""}),
            IdentityVerdict::kUnauthenticated);
}

// Two key fields could name two tenants, and components may disagree on which
// one counts.
TEST_F(IdentityTest, SeveralKeyFieldsCountAsNone) {
  EXPECT_EQ(VerdictOf(m_directory, {2, "k1"}),
            IdentityVerdict::kUnauthenticated);
}

// Guards against a public route that refuses callers, or that passes on the
// tenant of a key that it does not need.
TEST_F(IdentityTest, PublicRoutesAndConfigurationsWithoutTenantsNeedNoKey) {
  const ConfigCertainty unsure = {false, false, Millis(100)};
  const TenantDirectory no_tenants;
  for (const PresentedKey& key :
       std::vector<PresentedKey>{{}, {1, "k1"}, {1, "unknown"}, {2, ""}}) {
    for (const Identity& identity :
         {Identify(m_directory, true, key, unsure),
          Identify(no_tenants, false, key, unsure)}) {
      EXPECT_EQ(identity.verdict, IdentityVerdict::kAnonymous);
      EXPECT_EQ(identity.tenant, nullptr);
    }
  }
}

// A caller does not repeat a request after a 401, so a VM that may lack the
// latest configuration must not send one.
TEST_F(IdentityTest, AnUnsureVmDoesNotDecideOnUnknownKeys) {
  const ConfigCertainty unsure = {true, false, Millis(100)};
  for (const PresentedKey& key :
       std::vector<PresentedKey>{{}, {1, "unknown"}, {2, "k1"}}) {
    const Identity identity = Identify(m_directory, false, key, unsure);
    EXPECT_EQ(identity.verdict, IdentityVerdict::kUnsureOfAbsence);
    EXPECT_EQ(identity.retry_after, Millis(100));
  }
  EXPECT_EQ(VerdictOf(m_directory, {1, "k1"}, unsure),
            IdentityVerdict::kTenant);
}

// Guards against a revoked key that is accepted by a VM that cannot know of the
// revocation.
TEST_F(IdentityTest, AnUnsureVmDoesNotAcceptKnownKeys) {
  const ConfigCertainty unsure = {false, true, Millis(100)};
  const Identity identity = Identify(m_directory, false, {1, "k1"}, unsure);
  EXPECT_EQ(identity.verdict, IdentityVerdict::kUnsureOfKey);
  EXPECT_EQ(identity.tenant, nullptr);
  EXPECT_EQ(identity.retry_after, Millis(100));
  EXPECT_EQ(VerdictOf(m_directory, {1, "unknown"}, unsure),
            IdentityVerdict::kUnauthenticated);
}

}  // namespace
}  // namespace tanagervane
