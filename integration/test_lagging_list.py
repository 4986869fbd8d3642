"""Backend servers die together while the VM list is stale."""

import unittest

from faultlib import ONE_SHARD_INDEX, SHARDED_INDEX, FaultTest, Load


class LaggingListTest(FaultTest):

    def test_killed_backends_and_lagging_list(self):
        """Guards against lost or wrong requests when the backend servers of a
        data centre die and the VM list still shows them."""
        self.cluster.faults(vm_lag_ms=3000)
        with Load(self.cluster, ("lots", "lookup"), threads=4) as load:
            load.wait_for_more(50)
            for index in (SHARDED_INDEX, ONE_SHARD_INDEX):
                # Slow enough that requests are running on them when they die.
                self.cluster.change_replicas(index, speed=0.1)
            load.wait_for_more(10)
            for index in (SHARDED_INDEX, ONE_SHARD_INDEX):
                self.cluster.process_named(index + "-b").kill()
                del self.cluster.backends[(index, "b")]
            mark = len(load.records)
            load.wait_for_more(100)
            for vm in [vm for vm in self.cluster.vms if vm.endswith("-b")
                       or "-b-" in vm]:
                self.cluster.remove_vm(vm)
            settled = len(load.records)
            load.wait_for_more(100)
        self.check_no_wrong_or_lost(load.records)
        late = load.records[settled:]
        self.assertEqual({"complete"}, {r.outcome for r in late})
        # All can be retried: the retry budget holds ten attempts, and four
        # requests run at a time.
        failed = [r for r in load.records[mark:] if r.outcome != "complete"]
        self.assertEqual([], failed[:3])


if __name__ == "__main__":
    unittest.main()
