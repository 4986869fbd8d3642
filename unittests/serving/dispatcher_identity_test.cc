// Tests of the dispatcher's decisions on the senders of requests.

#include <memory>
#include <string>
#include <vector>

#include "dispatcher_harness.h"
#include "gtest/gtest.h"

namespace tanagervane {
namespace {

class DispatcherIdentityTest : public testing::Test {
 protected:
  DispatcherIdentityTest() { Configure(2); }

  void Configure(uint64_t version) {
    ServingConfig config = DispatcherHarness::MakeConfig(version);
    config.routes[0].priority = kLowPriority;
    config.routes[1].priority = kLowPriority;
    RouteSpec open = config.routes[0];
    open.name = "open";
    open.prefix = "/open/";
    open.is_public = true;
    config.routes.push_back(open);
    TenantSpec urgent;
    urgent.name = "urgent";
    urgent.keys = {"k1"};
    urgent.priority = 0;
    TenantSpec other;
    other.name = "other";
    other.keys = {"k2"};
    config.tenants = {urgent, other};
    m_harness.dispatcher.ApplyConfig(config);
  }

  static std::shared_ptr<CallerRequest> MakeRequest(const std::string& target) {
    auto request = std::make_shared<CallerRequest>();
    request->id = "r";
    request->method = "GET";
    request->host = "h";
    request->target = target;
    request->time_left = Millis(1000);
    return request;
  }

  RequestKey Submit(const std::string& target, const PresentedKey& key) {
    m_harness.dispatcher.Submit(++m_harness.last_key, MakeRequest(target),
                                m_harness.now, key);
    return m_harness.last_key;
  }

  /// Makes requests to "/one/" wait for a slot for 0.9 of the objective.
  void MakeBusy() {
    for (const auto& replica : m_harness.replicas.GetService("desk").replicas) {
      ReplicaChooser::RecordLoad(
          *replica, {.running = 5, .waiting = 29, .slots = 5}, m_harness.now);
    }
  }

  static constexpr uint32_t kLowPriority = 5;
  ConfigCertainty m_certainty;
  DispatcherHarness m_harness{{}, [this](Millis) { return m_certainty; }};
};

// Guards against a request that runs although its sender is unknown.
TEST_F(DispatcherIdentityTest, RequestsWithoutAKnownKeyAreNotRun) {
  for (const PresentedKey& key :
       std::vector<PresentedKey>{{}, {1, "unknown"}, {2, "k1"}, {1, ""}}) {
    const RequestKey request = Submit("/all/x", key);
    ASSERT_EQ(m_harness.answers.back().key, request);
    EXPECT_EQ(m_harness.answers.back().kind, AnswerKind::kUnauthenticated);
    EXPECT_EQ(m_harness.answers.back().reason, AnswerReason::kUnknownKey);
  }
  EXPECT_TRUE(m_harness.sent_attempts.empty());
  EXPECT_EQ(m_harness.reports, 4U);
}

// Guards against an attempt, hedge or retry that a replica takes for one
// without a tenant.
TEST_F(DispatcherIdentityTest, EveryAttemptNamesTheTenant) {
  Submit("/all/x", {1, "k1"});
  m_harness.Advance(Millis(150));
  EXPECT_GT(m_harness.dispatcher.stats().hedges, 0U);
  const auto attempts = m_harness.PopSentAttempts();
  EXPECT_GT(attempts.size(), DispatcherHarness::kShards);
  for (const OutgoingAttempt& attempt : attempts) {
    EXPECT_EQ(attempt.request->tenant, "urgent");
  }
}

// A public route must not reveal or depend on the key that a caller sends.
TEST_F(DispatcherIdentityTest, PublicRoutesHaveNoTenant) {
  Submit("/open/x", {1, "k1"});
  Submit("/open/x", {});
  const auto attempts = m_harness.PopSentAttempts();
  EXPECT_EQ(attempts.size(), 2 * DispatcherHarness::kShards);
  for (const OutgoingAttempt& attempt : attempts) {
    EXPECT_EQ(attempt.request->tenant, "");
  }
}

// Guards against a tenant's priority that is overruled by the route's.
TEST_F(DispatcherIdentityTest, TheTenantsPriorityPrecedesTheRoutes) {
  MakeBusy();
  Submit("/one/x", {1, "k2"});
  ASSERT_EQ(m_harness.answers.size(), 1U);
  EXPECT_EQ(m_harness.answers[0].reason, AnswerReason::kOverloaded);
  Submit("/one/x", {1, "k1"});
  EXPECT_EQ(m_harness.answers.size(), 1U);
  EXPECT_EQ(m_harness.sent_attempts.size(), 1U);
}

// A VM whose configuration may lack a key or its revocation must leave the
// decision to another VM, and can serve public routes.
TEST_F(DispatcherIdentityTest, AnUnsureVmRefusesWithoutADecision) {
  m_certainty = {false, false, Millis(120)};
  for (const char* key : {"k1", "unknown"}) {
    Submit("/all/x", {1, key});
    const FinalAnswer& answer = m_harness.answers.back();
    EXPECT_EQ(answer.kind, AnswerKind::kRefused);
    EXPECT_EQ(answer.reason, AnswerReason::kConfigUnproved);
    EXPECT_EQ(answer.retry_after, Millis(120));
  }
  EXPECT_TRUE(m_harness.sent_attempts.empty());
  Submit("/open/x", {});
  EXPECT_FALSE(m_harness.sent_attempts.empty());
}

// Guards against a hedge by a VM that was stopped, or has lost its proof, after
// it admitted the request.
TEST_F(DispatcherIdentityTest, NoHedgeIsSentWithoutAProof) {
  Submit("/all/x", {1, "k1"});
  m_harness.PopSentAttempts();
  m_certainty.accepts_known_keys = false;
  m_harness.Advance(Millis(150));
  EXPECT_TRUE(m_harness.sent_attempts.empty());
  EXPECT_GT(m_harness.dispatcher.stats().unproved_attempts, 0U);
}

// The same for a retry; a request that no replica has run is refused.
TEST_F(DispatcherIdentityTest, NoRetryIsSentWithoutAProof) {
  Submit("/one/x", {1, "k1"});
  const auto attempts = m_harness.PopSentAttempts();
  ASSERT_EQ(attempts.size(), 1U);
  m_certainty.accepts_known_keys = false;
  m_harness.dispatcher.OnReply(attempts[0].attempt_id,
                               DispatcherHarness::Rejected(), m_harness.now);
  m_harness.Advance(Millis(100));
  EXPECT_TRUE(m_harness.sent_attempts.empty());
  ASSERT_EQ(m_harness.answers.size(), 1U);
  EXPECT_EQ(m_harness.answers[0].kind, AnswerKind::kRefused);
  EXPECT_EQ(m_harness.answers[0].reason, AnswerReason::kConfigUnproved);
}

// A public route needs no proof at any time.
TEST_F(DispatcherIdentityTest, PublicRequestsAreHedgedWithoutAProof) {
  m_certainty = {false, false, Millis(120)};
  Submit("/open/x", {});
  m_harness.Advance(Millis(150));
  EXPECT_GT(m_harness.dispatcher.stats().hedges, 0U);
}

// Guards against a body that is read although the header decides.
TEST_F(DispatcherIdentityTest, TheHeaderAloneIsRefused) {
  const auto check = [this](const std::string& target,
                            const PresentedKey& key) {
    return m_harness.dispatcher.CheckHeader(*MakeRequest(target), key,
                                            m_harness.now);
  };
  EXPECT_EQ(check("/nowhere/", {1, "k1"})->kind, AnswerKind::kUnknownRoute);
  EXPECT_EQ(check("/all/x", {})->kind, AnswerKind::kUnauthenticated);
  EXPECT_EQ(check("/all/x", {1, "k1"}), std::nullopt);
  EXPECT_EQ(check("/open/x", {}), std::nullopt);
  m_certainty.rejects_unknown_keys = false;
  EXPECT_EQ(check("/all/x", {})->kind, AnswerKind::kRefused);
  EXPECT_EQ(m_harness.reports, 3U);
  EXPECT_TRUE(m_harness.answers.empty());
}

// A VM without a configuration must not decide on keys or routes.
TEST(DispatcherWithoutConfigTest, RefusesEveryHeader) {
  ReplicaSet replicas({});
  Quarantine quarantine{true, 3};
  DispatcherHooks hooks;
  hooks.on_finished = [](const RequestReport&) {};
  Dispatcher dispatcher({}, replicas, quarantine, hooks);
  const auto answer = dispatcher.CheckHeader({}, {}, Millis(0));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->kind, AnswerKind::kRefused);
  EXPECT_EQ(answer->reason, AnswerReason::kNoConfig);
}

}  // namespace
}  // namespace tanagervane
