#include "tanagervane/query/admission_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace tanagervane {
namespace {

// Guards against a tenant that gets more than its share by sending more
// requests.
TEST(AdmissionQueueTest, TenantsAreServedByShare) {
  AdmissionQueue queue;
  queue.SetShares(std::vector<TenantShare>{{"big", 3}, {"small", 1}});
  queue.SetConcurrencyLimit(1);
  ASSERT_TRUE(queue.TryAdmit(Urgency::kUrgent));
  for (uint64_t i = 0; i < 100; ++i) {
    ASSERT_TRUE(queue.Enqueue(i, Urgency::kUrgent, "small", "c"));
    ASSERT_TRUE(queue.Enqueue(1000 + i, Urgency::kUrgent, "big", "c"));
  }
  int served_big = 0;
  for (int i = 0; i < 80; ++i) {
    queue.Release(Urgency::kUrgent);
    served_big += queue.AdmitNext().value() >= 1000 ? 1 : 0;
  }
  EXPECT_EQ(served_big, 60);
}

// Guards against patient fan-outs that take all permits and block urgent ones.
TEST(AdmissionQueueTest, PatientFanoutsUseAtMostTheirFractionOfTheLimit) {
  AdmissionQueue queue;
  queue.SetConcurrencyLimit(10);
  int patient = 0;
  while (queue.TryAdmit(Urgency::kPatient)) {
    ++patient;
  }
  EXPECT_EQ(patient, 7);
  EXPECT_TRUE(queue.TryAdmit(Urgency::kUrgent));
}

// Guards against an unlimited queue, and against a wrong count or order after a
// ticket is removed from the middle.
TEST(AdmissionQueueTest, QueueIsLimitedAndRemovalKeepsOrderOfTheRest) {
  AdmissionQueue queue;
  queue.SetConcurrencyLimit(1);
  ASSERT_TRUE(queue.TryAdmit(Urgency::kUrgent));
  uint64_t queued = 0;
  while (queue.Enqueue(queued, Urgency::kUrgent, "t", "c")) {
    ++queued;
  }
  EXPECT_EQ(queued, AdmissionQueue::kMaxQueuedPerFlow);
  EXPECT_TRUE(queue.Remove(1));
  EXPECT_FALSE(queue.Remove(1));
  queue.Release(Urgency::kUrgent);
  EXPECT_EQ(queue.AdmitNext(), 0u);
  EXPECT_EQ(queue.AdmitNext(), std::nullopt);
  queue.Release(Urgency::kUrgent);
  EXPECT_EQ(queue.AdmitNext(), 2u);
  EXPECT_EQ(queue.queued(), queued - 3);
}

}  // namespace
}  // namespace tanagervane
