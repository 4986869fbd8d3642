// Tests of admission: which requests and parts are taken under which load.

#include "tanagervane/serving/admission.h"

#include <algorithm>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace tanagervane {
namespace {

std::vector<PartOutlook> Waits(const std::vector<double>& waits) {
  std::vector<PartOutlook> outlooks;
  for (const double wait : waits) {
    outlooks.push_back({wait < 0 ? std::nullopt : std::optional(Millis(wait))});
  }
  return outlooks;
}

constexpr double kNoReplica = -1;
constexpr AdmissionLimits kThreeOfFive = {.needed_parts = 3,
                                          .longest_wait = Millis(200),
                                          .on_time = Millis(185)};

// Guards against work on parts whose answers would come after the answer has
// left, and against more parts left out than the answer can do without.
TEST(AdmissionTest, LatePartsAreLeftOutWhileEnoughRemain) {
  EXPECT_TRUE(Admit(Waits({0, 0, 0, 100, 180}), kThreeOfFive).skipped.empty());
  EXPECT_EQ(Admit(Waits({0, 190, 0, 0, 900}), kThreeOfFive).skipped,
            (std::vector<size_t>{4, 1}));
  EXPECT_EQ(Admit(Waits({190, 195, 0, 0, 900}), kThreeOfFive).skipped,
            (std::vector<size_t>{4, 1}));
  // A shard without a replica is missing already.
  EXPECT_EQ(Admit(Waits({kNoReplica, 190, 195, 0, 0}), kThreeOfFive).skipped,
            (std::vector<size_t>{2}));
}

// Guards against late answers that lose parts as well: when nothing can be on
// time, all parts are asked.
TEST(AdmissionTest, NothingIsLeftOutOfALateRequest) {
  AdmissionLimits limits = kThreeOfFive;
  limits.on_time = Millis(0);
  EXPECT_TRUE(Admit(Waits({0, 0, 0, 190, 900}), limits).skipped.empty());
}

// Guards against requests that are held although they cannot be answered.
TEST(AdmissionTest, RefusedAtOnceWhenTooFewPartsCanAnswer) {
  const Admission dark =
      Admit(Waits({kNoReplica, kNoReplica, kNoReplica, 0, 0}), kThreeOfFive);
  EXPECT_EQ(dark.refusal, AnswerReason::kNoReplica);
  EXPECT_GT(dark.retry_after, Millis(0));
  const Admission full = Admit(Waits({0, 0, 300, 300, 300}), kThreeOfFive);
  EXPECT_EQ(full.refusal, AnswerReason::kOverloaded);
  EXPECT_EQ(full.retry_after, Millis(100));
}

RC_GTEST_PROP(AdmissionProperty, WhatIsTakenCanBeAnswered, ()) {
  const auto waits = *rc::gen::container<std::vector<double>>(
      rc::gen::element(double{kNoReplica}, 0.0, 50.0, 184.0, 190.0, 250.0));
  const Admission admission = Admit(Waits(waits), kThreeOfFive);
  size_t usable = 0;
  for (const double wait : waits) {
    usable += wait >= 0 && wait <= 200 ? 1 : 0;
  }
  RC_ASSERT(admission.refusal.has_value() == (usable < 3));
  if (!admission.refusal) {
    const size_t sendable = static_cast<size_t>(
        std::ranges::count_if(waits, [](double wait) { return wait >= 0; }));
    RC_ASSERT(sendable - admission.skipped.size() >= 3u);
  }
}

}  // namespace
}  // namespace tanagervane
