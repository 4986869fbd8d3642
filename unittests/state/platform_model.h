// In-memory platform with fault injection, and a simulated clock.

#ifndef TANAGERVANE_UNITTESTS_STATE_PLATFORM_MODEL_H_
#define TANAGERVANE_UNITTESTS_STATE_PLATFORM_MODEL_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "tanagervane/state/platform_api.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Runs callbacks in order of simulated time.
class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random(seed) {}

  void After(Millis delay, std::function<void()> action) {
    m_events.emplace(now + delay, std::move(action));
  }

  /// Runs until `end`, calling `tick` every 10 ms.
  void RunUntil(Millis end, const std::function<void()>& tick) {
    while (now < end) {
      const Millis step = now + Millis(10);
      while (!m_events.empty() && m_events.begin()->first <= step) {
        auto node = m_events.extract(m_events.begin());
        now = std::max(now, node.key());
        node.mapped()();
      }
      now = step;
      tick();
    }
  }

  Millis now;
  Random random;

 private:
  std::multimap<Millis, std::function<void()>> m_events;
};

/// Object store of the platform. Each call completes after a random delay of up
/// to 9 ms and fails with the configured probabilities.
class PlatformModel {
 public:
  /// Probabilities of each fault for one call.
  struct Faults {
    double down = 0;
    double lost_reply = 0;  ///< Unknown outcome; the write took effect.
    double lost_write = 0;  ///< Unknown outcome; the write had no effect.
    double stale_read = 0;
    double hang = 0;  ///< No reply; a write takes effect 3 s later.
  };

  explicit PlatformModel(Simulation& simulation) : m_simulation(simulation) {}

  Faults faults;
  uint64_t reads = 0;
  uint64_t writes = 0;

  PlatformApi Api() {
    PlatformApi api;
    api.get = [this](std::string kind, std::string name, auto done) {
      RunAfterDelay([this, id = kind + "/" + name, done] { Get(id, done); });
    };
    api.put = [this](std::string kind, std::string name, uint64_t expected,
                     std::string value, auto done) {
      RunAfterDelay([this, id = kind + "/" + name, expected, value, done] {
        WriteOrDelete(id, expected, &value, done);
      });
    };
    api.remove = [this](std::string kind, std::string name, uint64_t expected,
                        auto done) {
      RunAfterDelay([this, id = kind + "/" + name, expected, done] {
        WriteOrDelete(id, expected, nullptr, done);
      });
    };
    api.watch = [this](std::string kind, std::string name, uint64_t from,
                       Millis timeout, auto done) {
      RunAfterDelay([this, id = kind + "/" + name, from,
                     end = m_simulation.now + timeout,
                     done] { Watch(id, from, end, done); });
    };
    return api;
  }

  PlatformObject* Find(const std::string& id) {
    const auto it = m_objects.find(id);
    return it == m_objects.end() ? nullptr : &it->second;
  }
  void Set(const std::string& id, std::string value) {
    PlatformObject& object = m_objects[id];
    m_previous[id] = object;
    object = {object.version + 1, std::move(value)};
  }
  void Erase(const std::string& id) { m_objects.erase(id); }

 private:
  using Done = PlatformApi::ObjectDone;

  void RunAfterDelay(std::function<void()> action) {
    m_simulation.After(Millis(1 + m_simulation.random.NextDouble() * 8),
                       std::move(action));
  }
  bool HappensWith(double probability) {
    return m_simulation.random.NextDouble() < probability;
  }

  void Get(const std::string& id, const Done& done) {
    ++reads;
    if (HappensWith(faults.hang)) {
      return;
    }
    const auto it = m_objects.find(id);
    if (HappensWith(faults.down)) {
      done(PlatformResult::kUnavailable, {});
    } else if (m_previous[id].version != 0 && HappensWith(faults.stale_read)) {
      done(PlatformResult::kOk, m_previous[id]);
    } else if (it == m_objects.end()) {
      done(PlatformResult::kNotFound, {});
    } else {
      done(PlatformResult::kOk, it->second);
    }
  }

  std::pair<PlatformResult, PlatformObject> Apply(const std::string& id,
                                                  uint64_t expected,
                                                  const std::string* value) {
    PlatformObject* object = Find(id);
    if (const uint64_t current = object ? object->version : 0;
        current != expected) {
      return {PlatformResult::kConflict, {current, ""}};
    }
    if (!value) {
      m_objects.erase(id);
      return {PlatformResult::kOk, {}};
    }
    Set(id, *value);
    return {PlatformResult::kOk, {expected + 1, ""}};
  }

  void WriteOrDelete(const std::string& id,
                     uint64_t expected,
                     const std::string* value,
                     const Done& done) {
    ++writes;
    if (HappensWith(faults.down)) {
      done(PlatformResult::kUnavailable, {});
    } else if (HappensWith(faults.hang)) {
      if (value) {
        m_simulation.After(Millis(3000), [this, id, expected, copy = *value] {
          Apply(id, expected, &copy);
        });
      }
    } else if (HappensWith(faults.lost_write)) {
      done(PlatformResult::kUnknownOutcome, {});
    } else {
      const bool lost = HappensWith(faults.lost_reply);
      const auto [result, object] = Apply(id, expected, value);
      done(lost ? PlatformResult::kUnknownOutcome : result, object);
    }
  }

  void Watch(const std::string& id, uint64_t from, Millis end, Done done) {
    PlatformObject* object = Find(id);
    if (HappensWith(faults.down)) {
      done(PlatformResult::kUnavailable, {});
    } else if (HappensWith(faults.lost_write)) {
      done(PlatformResult::kVersionTooOld, {});
    } else if (object && object->version > from) {
      done(PlatformResult::kOk, *object);
    } else if (m_simulation.now >= end) {
      done(PlatformResult::kUnchanged, {});
    } else {
      m_simulation.After(Millis(50), [this, id, from, end, done] {
        Watch(id, from, end, done);
      });
    }
  }

  Simulation& m_simulation;
  std::map<std::string, PlatformObject> m_objects;
  std::map<std::string, PlatformObject> m_previous;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_UNITTESTS_STATE_PLATFORM_MODEL_H_
