#include "Jobs/result_log.h"

#include <utility>

namespace cowslip {

using boost::asio::awaitable;

namespace {

Error FencedError() {
  return Error(ErrorKind::kConflict,
               "A later owner has claimed the job's results. Read the job's "
               "document again.");
}

}  // namespace

ResultLog::ResultLog(DocumentStore& store, JobKey key, FencingNumber fence)
    : m_store(store), m_key(std::move(key)), m_fence(fence) {}

ResultSegment ResultLog::LastSegment() const {
  ResultSegment segment{.fence = m_fence};
  segment.results.assign(m_results.begin() + m_segment_begin, m_results.end());
  return segment;
}

awaitable<Result<void>> ResultLog::Claim() {
  Result<void> outcome = co_await Refresh();
  while (outcome.has_value() && m_segment_fence != m_fence) {
    if (m_segment_fence > m_fence) {
      co_return FencedError();
    }
    outcome = co_await WriteLastSegment(LastSegment());
    if (!outcome.has_value() &&
        outcome.error().kind() == ErrorKind::kConflict) {
      outcome = co_await Refresh();
    }
  }
  co_return outcome;
}

void ResultLog::ApplySegment(const ResultSegment& segment,
                             ObjectVersion version) {
  m_version = version;
  m_segment_fence = segment.fence;
  for (size_t i = m_results.size() - m_segment_begin;
       i < segment.results.size(); ++i) {
    const ItemResult& result = segment.results[i];
    m_results.push_back(result);
    m_items.insert(result.item);
    m_bytes += result.output.size();
    m_segment_bytes += result.output.size();
  }
  if (segment.sealed) {
    OpenNextSegment();
  }
}

void ResultLog::OpenNextSegment() {
  ++m_segment;
  m_version = ObjectVersion();
  m_segment_begin = m_results.size();
  m_segment_bytes = 0;
}

awaitable<Result<void>> ResultLog::Refresh() {
  const DocumentKind kind(kResultKind);
  while (true) {
    const uint32_t segment = m_segment;
    const DocumentName name = ResultName(m_key, segment);
    const Result<Document> document = co_await m_store.Get(kind, name);
    if (!document.has_value()) {
      if (document.error().kind() != ErrorKind::kNotFound) {
        co_return document.error();
      }
      break;
    }
    const Result<ResultSegment> decoded =
        DecodeResults(document.value().content);
    if (!decoded.has_value()) {
      co_return decoded.error();
    }
    ApplySegment(decoded.value(), document.value().version);
    if (m_segment == segment) {
      break;
    }
  }
  m_maybe_stale = false;
  co_return Ok();
}

awaitable<Result<void>> ResultLog::Append(std::vector<ItemResult> results) {
  while (true) {
    if (m_maybe_stale) {
      const Result<void> read = co_await Refresh();
      if (!read.has_value()) {
        co_return read.error();
      }
    }
    std::erase_if(results, [this](const ItemResult& result) {
      return m_items.contains(result.item);
    });
    if (results.empty()) {
      co_return Ok();
    }
    // A segment that does not exist yet may follow one of an earlier owner, so
    // its fence may be lower.
    const bool exists = m_version != ObjectVersion();
    if (m_segment_fence > m_fence || (exists && m_segment_fence != m_fence)) {
      co_return FencedError();
    }
    // Adds as many results as the last segment takes, and seals it when full.
    ResultSegment segment = LastSegment();
    size_t bytes = m_segment_bytes;
    for (const ItemResult& result : results) {
      if (bytes >= kSegmentBytes) {
        break;
      }
      bytes += result.output.size();
      segment.results.push_back(result);
    }
    segment.sealed = bytes >= kSegmentBytes;
    const Result<void> written = co_await WriteLastSegment(std::move(segment));
    if (!written.has_value() &&
        written.error().kind() != ErrorKind::kConflict) {
      co_return written.error();
    }
  }
}

awaitable<Result<void>> ResultLog::WriteLastSegment(ResultSegment segment) {
  const DocumentKind kind(kResultKind);
  const DocumentName name = ResultName(m_key, m_segment);
  const ObjectVersion version = m_version;
  nlohmann::json content = EncodeResults(segment);
  // Until the outcome is known, the store may hold another version.
  m_maybe_stale = true;
  Result<Document> written = Error();
  if (version == ObjectVersion()) {
    written = co_await m_store.Create(kind, name, std::move(content));
  } else {
    written = co_await m_store.Replace(kind, name, std::move(content), version);
  }
  if (!written.has_value()) {
    if (written.error().kind() == ErrorKind::kInDoubt) {
      m_in_doubt_write = std::pair(m_segment, version);
    }
    co_return written.error();
  }
  ApplySegment(segment, written.value().version);
  m_maybe_stale = false;
  co_return Ok();
}

}  // namespace cowslip
