// Poller on epoll and a GSource.

#include "tanagervane/net/poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <utility>

namespace tanagervane {

namespace {

/// Events fetched with one epoll_wait().
constexpr int kEventBatch = 128;

constexpr double kMicrosPerMilli = 1000.0;

uint64_t MakeEventKey(int descriptor, uint32_t generation) {
  return (static_cast<uint64_t>(generation) << 32) |
         static_cast<uint32_t>(descriptor);
}

}  // namespace

struct Poller::Source {
  GSource base;
  Poller* owner;
  gpointer fd_tag;
};

Poller::Poller() : m_epoll_descriptor(epoll_create1(EPOLL_CLOEXEC)) {
  assert(m_epoll_descriptor >= 0 && "no descriptor left for epoll");
  // No prepare or check function is needed: GLib dispatches the source when the
  // descriptor is readable or the ready time has passed.
  static GSourceFuncs functions = {nullptr, nullptr, &Poller::Dispatch,
                                   nullptr, nullptr, nullptr};
  auto* base = g_source_new(&functions, sizeof(Source));
  m_source = reinterpret_cast<Source*>(base);
  m_source->owner = this;
  m_source->fd_tag = g_source_add_unix_fd(base, m_epoll_descriptor, G_IO_IN);
  g_source_attach(base, nullptr);
}

Poller::~Poller() {
  g_source_destroy(&m_source->base);
  g_source_unref(&m_source->base);
  close(m_epoll_descriptor);
}

void Poller::Add(int descriptor, uint32_t events, EventHook hook) {
  auto watch = std::make_shared<Watch>();
  watch->hook = std::move(hook);
  watch->generation = ++m_last_generation;
  epoll_event event{};
  event.events = events;
  event.data.u64 = MakeEventKey(descriptor, watch->generation);
  m_watches[descriptor] = std::move(watch);
  epoll_ctl(m_epoll_descriptor, EPOLL_CTL_ADD, descriptor, &event);
}

void Poller::Modify(int descriptor, uint32_t events) {
  const auto it = m_watches.find(descriptor);
  assert(it != m_watches.end() && "descriptor is not watched");
  epoll_event event{};
  event.events = events;
  event.data.u64 = MakeEventKey(descriptor, it->second->generation);
  epoll_ctl(m_epoll_descriptor, EPOLL_CTL_MOD, descriptor, &event);
}

void Poller::Remove(int descriptor) {
  if (m_watches.erase(descriptor) > 0) {
    epoll_ctl(m_epoll_descriptor, EPOLL_CTL_DEL, descriptor, nullptr);
  }
}

Millis Poller::Now() {
  return Millis(static_cast<double>(g_get_monotonic_time()) / kMicrosPerMilli);
}

void Poller::SetAlarmHook(std::function<void()> hook) {
  m_alarm_hook = std::move(hook);
}

void Poller::SetAlarm(Millis at) {
  const auto micros = static_cast<gint64>(at.count() * kMicrosPerMilli);
  g_source_set_ready_time(&m_source->base, micros < 0 ? 0 : micros);
}

gboolean Poller::Dispatch(GSource* source, GSourceFunc, gpointer) {
  auto* self = reinterpret_cast<Source*>(source);
  Poller* poller = self->owner;
  const gint64 ready_time = g_source_get_ready_time(source);
  const bool alarm_due =
      ready_time >= 0 && ready_time <= g_get_monotonic_time();
  if (g_source_query_unix_fd(source, self->fd_tag) != 0) {
    poller->RunReadyHooks();
  }
  if (alarm_due) {
    g_source_set_ready_time(source, -1);
    if (poller->m_alarm_hook) {
      poller->m_alarm_hook();
    }
  }
  return G_SOURCE_CONTINUE;
}

void Poller::RunReadyHooks() {
  std::array<epoll_event, kEventBatch> events;
  const int count =
      epoll_wait(m_epoll_descriptor, events.data(), kEventBatch, 0);
  for (int i = 0; i < count; ++i) {
    const uint64_t key = events[i].data.u64;
    const int descriptor = static_cast<int>(key & 0xffffffffU);
    const auto generation = static_cast<uint32_t>(key >> 32);
    const auto it = m_watches.find(descriptor);
    // An earlier hook of this batch may have closed the descriptor, and a new
    // one may have got the same number.
    if (it == m_watches.end() || it->second->generation != generation) {
      continue;
    }
    const std::shared_ptr<Watch> watch = it->second;
    watch->hook(events[i].events);
  }
}

}  // namespace tanagervane
