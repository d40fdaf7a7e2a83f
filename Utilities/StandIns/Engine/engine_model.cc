#include "Utilities/StandIns/Engine/engine_model.h"

#include <algorithm>

namespace cowslip {

namespace {

// English text averages about four bytes a token.
constexpr size_t kBytesPerToken = 4;

}  // namespace

EngineModel::EngineModel(EngineModelOptions options)
    : m_options(options), m_cache(options.cache_entries) {}

EngineStreamId EngineModel::Add(std::string_view prompt,
                                uint64_t resume_from,
                                uint64_t max_tokens,
                                MonotonicTime now) {
  const EngineStreamId id(++m_last_stream);
  Stream stream{.prompt = std::string(prompt),
                .produced = resume_from,
                .max_tokens = std::max(max_tokens, resume_from + 1)};
  m_queue.emplace_back(id, std::move(stream));
  if (!m_step_end.has_value()) {
    StartStep(now);
  }
  return id;
}

void EngineModel::Cancel(EngineStreamId stream, MonotonicTime now) {
  m_running.erase(stream);
  std::erase_if(m_queue,
                [&](const auto& queued) { return queued.first == stream; });
  if (m_running.empty()) {
    m_step_end.reset();
    StartStep(now);
  }
}

std::vector<EngineModelToken> EngineModel::Advance(MonotonicTime now) {
  std::vector<EngineModelToken> tokens;
  while (m_step_end.has_value() && *m_step_end <= now) {
    const MonotonicTime end = *m_step_end;
    EndStep(tokens);
    StartStep(end);
  }
  return tokens;
}

void EngineModel::StartStep(MonotonicTime now) {
  const Duration prefill = AdmitQueued();
  if (m_running.empty()) {
    return;
  }
  const double others = static_cast<double>(m_running.size() - 1);
  const double factor = 1.0 + m_options.step_growth * others;
  const double step = static_cast<double>(m_options.step_time.count()) * factor;
  m_step_end = now + prefill + Duration(static_cast<Duration::rep>(step));
}

Duration EngineModel::AdmitQueued() {
  Duration prefill(0);
  while (!m_queue.empty() && m_running.size() < m_options.slots) {
    auto& [id, stream] = m_queue.front();
    prefill += PrefillTime(stream);
    m_running.emplace(id, std::move(stream));
    m_queue.pop_front();
  }
  return prefill;
}

Duration EngineModel::PrefillTime(const Stream& stream) {
  const size_t cached = m_cache.Use(stream.prompt);
  // A resumed stream computes what it had produced again, as a prompt.
  const uint64_t tokens =
      (stream.prompt.size() - cached) / kBytesPerToken + stream.produced;
  return m_options.prefill_per_token * static_cast<Duration::rep>(tokens);
}

void EngineModel::EndStep(std::vector<EngineModelToken>& tokens) {
  m_step_end.reset();
  for (auto stream = m_running.begin(); stream != m_running.end();) {
    const uint64_t index = ++stream->second.produced;
    const bool last = index >= stream->second.max_tokens;
    tokens.push_back({.stream = stream->first, .index = index, .last = last});
    stream = last ? m_running.erase(stream) : std::next(stream);
  }
}

}  // namespace cowslip
