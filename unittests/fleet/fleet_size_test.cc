#include "tanagervane/fleet/fleet_size.h"

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

// A partitioned VM must not use the connection, hedge and retry shares of the
// other VMs, which are still sending.
TEST(FleetSizeTest, MinorityCountsAllListedVms) {
  EXPECT_EQ(
      EstimateFleetSize({.live = 1, .listed = 24, .gossip_converged = true}),
      24u);
  EXPECT_EQ(
      EstimateFleetSize({.live = 12, .listed = 24, .gossip_converged = true}),
      24u);
}

// Registrations of dead VMs in the store must not leave their shares unused.
TEST(FleetSizeTest, MajorityCountsLiveVms) {
  EXPECT_EQ(
      EstimateFleetSize({.live = 17, .listed = 24, .gossip_converged = true}),
      17u);
  EXPECT_EQ(
      EstimateFleetSize({.live = 5, .listed = 4, .gossip_converged = true}),
      5u);
}

// When a whole fleet starts, no VM must take a large share before gossip has
// found the other VMs.
TEST(FleetSizeTest, StartCountsListedVms) {
  EXPECT_EQ(
      EstimateFleetSize({.live = 20, .listed = 24, .gossip_converged = false}),
      24u);
  EXPECT_GT(EstimateFleetSize(
                {.live = 1, .listed = std::nullopt, .gossip_converged = false}),
            1u);
  EXPECT_EQ(EstimateFleetSize(
                {.live = 1, .listed = std::nullopt, .gossip_converged = true}),
            1u);
}

}  // namespace
}  // namespace tanagervane
