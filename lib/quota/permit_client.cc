#include "tanagervane/quota/permit_client.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

const PermitQuestion& PermitClient::Ask(uint64_t request,
                                        std::string_view tenant,
                                        std::string_view pool_vm,
                                        Millis now) {
  const uint64_t nonce = m_next_nonce++;
  PermitQuestion& question = m_questions[nonce];
  question.request = request;
  question.nonce = nonce;
  question.tenant = tenant;
  question.pool_vm = pool_vm;
  question.asked_at = now;
  return question;
}

std::optional<PermitQuestion> PermitClient::OnReply(std::string_view vm,
                                                    uint64_t nonce,
                                                    Millis now) {
  const auto it = m_questions.find(nonce);
  if (it == m_questions.end() || it->second.pool_vm != vm ||
      now - it->second.asked_at >= kPermitTimeout) {
    return std::nullopt;
  }
  return std::move(m_questions.extract(it).mapped());
}

void PermitClient::Cancel(uint64_t request) {
  std::erase_if(m_questions, [&](const auto& item) {
    return item.second.request == request;
  });
}

std::vector<PermitQuestion> PermitClient::TakeRepeats(Millis now) {
  std::vector<PermitQuestion> repeats;
  for (auto& [nonce, question] : m_questions) {
    if (now - question.asked_at < kPermitRepeatDelay) {
      break;
    }
    if (!std::exchange(question.repeated, true)) {
      repeats.push_back(question);
    }
  }
  return repeats;
}

std::vector<PermitQuestion> PermitClient::TakeTimeouts(Millis now) {
  std::vector<PermitQuestion> timeouts;
  while (!m_questions.empty() &&
         now - m_questions.begin()->second.asked_at >= kPermitTimeout) {
    timeouts.push_back(
        std::move(m_questions.extract(m_questions.begin()).mapped()));
  }
  return timeouts;
}

std::optional<Millis> PermitClient::NextTimer() const {
  if (m_questions.empty()) {
    return std::nullopt;
  }
  Millis next = m_questions.begin()->second.asked_at + kPermitTimeout;
  for (const auto& [nonce, question] : m_questions) {
    if (!question.repeated) {
      return std::min(next, question.asked_at + kPermitRepeatDelay);
    }
  }
  return next;
}

}  // namespace tanagervane
