#ifndef TANAGERVANE_STANDINS_FAKE_BACKEND_CONTROL_H_
#define TANAGERVANE_STANDINS_FAKE_BACKEND_CONTROL_H_

#include <memory>
#include <vector>

#include "replica.h"
#include "tanagervane/edge/http.h"

namespace tanagervane::standins {

/// Answers requests on the control port of fake-backend:
///   GET  /healthz
///   GET  /replicas                     state and counters of each replica
///   GET  /vms                          the replicas as VMs of the platform API
///   POST /replicas/<selection>         change fields of Behaviour
///   POST /replicas/<selection>/publish {"version"?, "shards"?}
///                                      add an index version
///   POST /replicas/<selection>/crash      crash and restart
///   GET  /executions[?payload=P]       execution counts by class and payload
///   POST /reset                        zero counters and execution counts
class BackendControl {
 public:
  BackendControl(std::vector<std::unique_ptr<Replica>>& replicas,
                 ExecutionLog& execution_log)
      : m_replicas(replicas), m_execution_log(execution_log) {}

  HttpResponse HandleRequest(const HttpRequest& request);

 private:
  HttpResponse ListReplicas() const;
  HttpResponse ListVms() const;
  HttpResponse ListExecutions(const HttpRequest& request) const;
  HttpResponse UpdateReplicas(const std::vector<size_t>& selected,
                              const HttpRequest& request);
  HttpResponse Publish(const std::vector<size_t>& selected,
                       const HttpRequest& request);

  std::vector<std::unique_ptr<Replica>>& m_replicas;
  ExecutionLog& m_execution_log;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAKE_BACKEND_CONTROL_H_
