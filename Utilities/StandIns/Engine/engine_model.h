#ifndef UTILITIES_STANDINS_ENGINE_ENGINE_MODEL_H_
#define UTILITIES_STANDINS_ENGINE_ENGINE_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/strong_number.h"
#include "Base/time.h"
#include "Utilities/StandIns/Engine/prefix_cache.h"

namespace cowslip {

/// One request inside the engine.
using EngineStreamId = StrongNumber<struct EngineStreamIdTag, uint64_t>;

/// \class EngineModelOptions
/// \brief How large and how fast the engine is.
struct EngineModelOptions {
  size_t slots = 8;
  Duration prefill_per_token = std::chrono::microseconds(20);
  /// One step with one running stream.
  Duration step_time = std::chrono::milliseconds(10);
  /// What each further running stream adds to a step, as a share of
  /// `step_time`.
  double step_growth = 0.03;
  size_t cache_entries = 4096;
};

/// \class EngineModelToken
/// \brief A stream has produced its token number `index`, counted from 1.
struct EngineModelToken {
  EngineStreamId stream;
  uint64_t index = 0;
  bool last = false;
};

/// \class EngineModel
/// \brief Continuous batching without I/O and without a clock.
///
/// Requests are admitted to slots in the order they came, with no priorities.
/// A step first computes the prompts of newly admitted streams, as far as the
/// prefix cache does not hold them, and then produces one token for each
/// running stream.
class EngineModel {
 public:
  explicit EngineModel(EngineModelOptions options);

  /// Takes a request for the tokens after `resume_from` up to `max_tokens`.
  EngineStreamId Add(std::string_view prompt,
                     uint64_t resume_from,
                     uint64_t max_tokens,
                     MonotonicTime now);
  /// Frees the stream's slot or its place in the queue at once.
  void Cancel(EngineStreamId stream, MonotonicTime now);
  /// When the running step ends; nullopt while nothing runs.
  std::optional<MonotonicTime> NextStepEnd() const { return m_step_end; }
  /// Ends every step due by `now` and returns what it produced.
  std::vector<EngineModelToken> Advance(MonotonicTime now);

  size_t slots() const { return m_options.slots; }
  /// Streams that hold a slot, those that join at the next step included.
  size_t running() const { return std::min(Taken(), m_options.slots); }
  /// Requests that wait for a slot.
  size_t queued() const { return Taken() - running(); }

 private:
  struct Stream {
    std::string prompt;
    uint64_t produced = 0;
    uint64_t max_tokens = 0;
  };

  size_t Taken() const { return m_running.size() + m_queue.size(); }
  void StartStep(MonotonicTime now);
  // Moves queued streams into free slots; returns the time for their prompts.
  Duration AdmitQueued();
  Duration PrefillTime(const Stream& stream);
  void EndStep(std::vector<EngineModelToken>& tokens);

  const EngineModelOptions m_options;
  PrefixCache m_cache;
  uint64_t m_last_stream = 0;
  std::map<EngineStreamId, Stream> m_running;
  std::deque<std::pair<EngineStreamId, Stream>> m_queue;
  std::optional<MonotonicTime> m_step_end;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_ENGINE_ENGINE_MODEL_H_
