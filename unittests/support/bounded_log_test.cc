#include "tanagervane/support/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gtest/gtest.h"

namespace tanagervane {
namespace {

class BoundedLogTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(m_pipe.data()), 0); }
  void TearDown() override {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  std::string ReadAll() {
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 65536> bytes;
    for (ssize_t count = 0;
         (count = read(m_pipe[0], bytes.data(), bytes.size())) > 0;) {
      all.append(bytes.data(), static_cast<size_t>(count));
    }
    return all;
  }

  std::array<int, 2> m_pipe{};
  Millis m_now;
  ClockHook m_clock = [this] { return m_now; };
};

// An event loop that writes its log to a full pipe must not block: lines are
// dropped and counted instead.
TEST_F(BoundedLogTest, FullPipeDoesNotBlock) {
  BoundedLog log(m_pipe[1],
                 {.lines_per_second = 1e9,
                  .burst_lines = 1e9,
                  .max_pending_bytes = 100'000},
                 m_clock);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    log.Write(line + "\n");
    log.Flush();
  }
  EXPECT_GT(log.dropped(), 0u);
  std::string read = ReadAll();
  // The pipe holds less than the buffered bytes, so draining takes several
  // rounds.
  for (int i = 0; i < 4; ++i) {
    log.Flush();
    read += ReadAll();
  }
  EXPECT_NE(read.find("event=log_lines_dropped"), std::string::npos);
}

// Under load, lines above the rate are dropped after the burst is used up.
TEST_F(BoundedLogTest, RateIsBounded) {
  BoundedLog log(m_pipe[1], {.lines_per_second = 10, .burst_lines = 20},
                 m_clock);
  for (int i = 0; i < 100; ++i) {
    log.Write("line\n");
  }
  EXPECT_EQ(log.dropped(), 80u);
  m_now += Millis(1000);
  for (int i = 0; i < 100; ++i) {
    log.Write("line\n");
  }
  EXPECT_EQ(log.dropped(), 170u);
}

}  // namespace
}  // namespace tanagervane
