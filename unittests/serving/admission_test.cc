// Tests of admission control.

#include "tanagervane/serving/admission.h"

#include <algorithm>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

std::vector<SubRequestEstimate> MakeEstimates(
    const std::vector<double>& waits) {
  std::vector<SubRequestEstimate> estimates;
  for (const double wait : waits) {
    estimates.push_back(
        {.min_wait = wait < 0 ? std::nullopt : std::optional(Millis(wait)),
         .limit_delay = std::nullopt,
         .permit_fraction = std::nullopt,
         .max_queue_wait = std::nullopt});
  }
  return estimates;
}

constexpr double kNoReplica = -1;
constexpr AdmissionLimits kThreeNeeded = {.needed_sub_requests = 3,
                                          .max_wait = Millis(200),
                                          .time_to_answer = Millis(185)};

// Guards against sub-requests whose replies would arrive after the answer was
// sent, and against skipping more sub-requests than the answer can do without.
TEST(AdmissionTest, LateSubRequestsAreSkippedWhileEnoughRemain) {
  EXPECT_TRUE(
      Admit(MakeEstimates({0, 0, 0, 100, 180}), kThreeNeeded).skipped.empty());
  EXPECT_EQ(Admit(MakeEstimates({0, 190, 0, 0, 900}), kThreeNeeded).skipped,
            (std::vector<size_t>{4, 1}));
  EXPECT_EQ(Admit(MakeEstimates({190, 195, 0, 0, 900}), kThreeNeeded).skipped,
            (std::vector<size_t>{4, 1}));
  // A shard without a replica already uses up one of the two shards that the
  // answer can do without.
  EXPECT_EQ(
      Admit(MakeEstimates({kNoReplica, 190, 195, 0, 0}), kThreeNeeded).skipped,
      (std::vector<size_t>{2}));
}

// Guards against skipping sub-requests of a request that is already late: the
// answer would be incomplete and still late.
TEST(AdmissionTest, LateRequestSkipsNothing) {
  AdmissionLimits limits = kThreeNeeded;
  limits.time_to_answer = Millis(0);
  EXPECT_TRUE(
      Admit(MakeEstimates({0, 0, 0, 190, 900}), limits).skipped.empty());
}

// Guards against queues that are short enough for one route and too long for
// another with a tighter objective that uses the same shard.
TEST(AdmissionTest, QueueIsBoundedForTheTightestObjective) {
  std::vector<SubRequestEstimate> estimates = MakeEstimates({0, 50, 0, 60, 0});
  EXPECT_TRUE(Admit(estimates, kThreeNeeded).skipped.empty());
  for (SubRequestEstimate& estimate : estimates) {
    estimate.max_queue_wait = Millis(45);
  }
  EXPECT_EQ(Admit(estimates, kThreeNeeded).skipped,
            (std::vector<size_t>{3, 1}));
}

// Guards against sending a skipped sub-request into a queue that would make it
// late, and to a shard without a replica.
TEST(AdmissionTest, SkippedSubRequestIsReopenedOnlyWithTimeLeft) {
  const SubRequestEstimate busy = MakeEstimates({60}).front();
  EXPECT_TRUE(MayReopen(busy, Millis(130)));
  EXPECT_FALSE(MayReopen(busy, Millis(65)));
  EXPECT_FALSE(MayReopen(MakeEstimates({0}).front(), Millis(0)));
  EXPECT_FALSE(MayReopen(MakeEstimates({kNoReplica}).front(), Millis(130)));
}

// Guards against admitting requests that cannot get enough replies.
TEST(AdmissionTest, RefusedWhenTooFewShardsCanAnswer) {
  const Admission no_replicas = Admit(
      MakeEstimates({kNoReplica, kNoReplica, kNoReplica, 0, 0}), kThreeNeeded);
  EXPECT_EQ(no_replicas.refusal, AnswerReason::kNoReplica);
  EXPECT_GT(no_replicas.retry_after, Millis(0));
  const Admission overloaded =
      Admit(MakeEstimates({0, 0, 300, 300, 300}), kThreeNeeded);
  EXPECT_EQ(overloaded.refusal, AnswerReason::kOverloaded);
  EXPECT_EQ(overloaded.retry_after, Millis(100));
}

// Guards against a refusal that does not tell the caller when enough replicas
// take requests again.
TEST(AdmissionTest, RefusalForStatedLimitsTellsWhenTheyPermitRequests) {
  std::vector<SubRequestEstimate> estimates =
      MakeEstimates({kNoReplica, kNoReplica, kNoReplica, kNoReplica, 0});
  estimates[1].limit_delay = Millis(300);
  EXPECT_EQ(Admit(estimates, kThreeNeeded).refusal, AnswerReason::kNoReplica);
  estimates[0].limit_delay = Millis(500);
  estimates[3].limit_delay = Millis(900);
  EXPECT_EQ(Admit(estimates, kThreeNeeded).refusal, AnswerReason::kRateLimited);
  EXPECT_EQ(Admit(estimates, kThreeNeeded).retry_after, Millis(500));
}

// Guards against requests that use scarce permits although they can do without
// them, and against leaving out shards without need.
TEST(AdmissionTest, ScarcestPermitsAreSparedIfTooManyShardsLackThem) {
  std::vector<SubRequestEstimate> estimates = MakeEstimates({0, 0, 0, 190, 0});
  estimates[0].permit_fraction = 0.9;
  estimates[1].permit_fraction = 0.5;
  EXPECT_TRUE(Admit(estimates, kThreeNeeded).spared.empty());
  estimates[2].permit_fraction = 0.3;
  // One of the two shards that the answer can do without is skipped already.
  EXPECT_EQ(Admit(estimates, kThreeNeeded).skipped, (std::vector<size_t>{3}));
  EXPECT_EQ(Admit(estimates, kThreeNeeded).spared, (std::vector<size_t>{2}));
  AdmissionLimits limits = kThreeNeeded;
  limits.spare_permits = false;
  EXPECT_TRUE(Admit(estimates, limits).spared.empty());
}

RC_GTEST_PROP(AdmissionProperty, AdmittedRequestsCanBeAnswered, ()) {
  const auto waits = *rc::gen::container<std::vector<double>>(
      rc::gen::element(double{kNoReplica}, 0.0, 50.0, 184.0, 190.0, 250.0));
  const Admission admission = Admit(MakeEstimates(waits), kThreeNeeded);
  size_t answerable = 0;
  for (const double wait : waits) {
    answerable += wait >= 0 && wait <= 200 ? 1 : 0;
  }
  RC_ASSERT(admission.refusal.has_value() == (answerable < 3));
  if (!admission.refusal) {
    const size_t with_replica = static_cast<size_t>(
        std::ranges::count_if(waits, [](double wait) { return wait >= 0; }));
    RC_ASSERT(with_replica - admission.skipped.size() >= 3u);
  }
}

}  // namespace
}  // namespace tanagervane
