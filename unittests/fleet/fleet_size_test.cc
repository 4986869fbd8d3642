// Tests of the estimate of the fleet's size.

#include "tanagervane/fleet/fleet_size.h"

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

// Guards against a VM that is cut off from the others taking their shares of
// connections and extra sends while they go on sending.
TEST(FleetSizeTest, MinorityCountsAllListedVms) {
  EXPECT_EQ(EstimateFleetSize({.live = 1, .listed = 24, .settled = true}), 24u);
  EXPECT_EQ(EstimateFleetSize({.live = 12, .listed = 24, .settled = true}),
            24u);
}

// Guards against shares that stay unused because objects of VMs that are gone
// stand in the store.
TEST(FleetSizeTest, MajorityCountsTheLive) {
  EXPECT_EQ(EstimateFleetSize({.live = 17, .listed = 24, .settled = true}),
            17u);
  EXPECT_EQ(EstimateFleetSize({.live = 5, .listed = 4, .settled = true}), 5u);
}

// Guards against all VMs of a large fleet taking large shares at the moment
// when they start together, before gossip has told of the others.
TEST(FleetSizeTest, StartCountsTheListed) {
  EXPECT_EQ(EstimateFleetSize({.live = 20, .listed = 24, .settled = false}),
            24u);
  EXPECT_GT(
      EstimateFleetSize({.live = 1, .listed = std::nullopt, .settled = false}),
      1u);
  EXPECT_EQ(
      EstimateFleetSize({.live = 1, .listed = std::nullopt, .settled = true}),
      1u);
}

}  // namespace
}  // namespace tanagervane
