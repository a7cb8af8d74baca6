#ifndef ROSEMARYWINCH_ADAPTERS_METRICS_H_
#define ROSEMARYWINCH_ADAPTERS_METRICS_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/errors.h"
#include "rosemarywinch/schema/policy.h"

namespace rosemarywinch {

/// What is recorded of one finished request.
struct RequestSample {
  std::string account;
  RequestClass request_class = RequestClass::kLookup;
  /// kNone for a request that was served; others only count as an outcome.
  ErrorId refusal = ErrorId::kNone;
  /// Total time in this node, and the part of it that the node added.
  double total_ms = 0;
  double added_ms = 0;
};

/// Histograms and counters per client account and request class, and plain
/// counters and gauges. Thread-safe; series are sharded by client account,
/// counters and gauges by name.
class Metrics {
 public:
  void RecordRequest(const RequestSample& sample);

  /// Increments a counter without labels.
  void Add(const std::string& counter, uint64_t count = 1);
  /// Sets a gauge without labels.
  void Set(const std::string& gauge, double value);

  /// Returns all metrics in the Prometheus text format.
  std::string Text();

 private:
  using Histogram = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
          1,
          0.1,
          1.0)));
  struct Series {
    Series();
    Histogram total;
    Histogram added;
    double total_sum = 0;
    double added_sum = 0;
    std::map<ErrorId, uint64_t> outcomes;
  };
  using Key = std::tuple<std::string, RequestClass>;
  struct Shard {
    std::map<Key, Series> series;
    std::map<std::string, uint64_t> counters;
    std::map<std::string, double> gauges;
  };

  static void WriteHistogram(std::string& text,
                             const std::string& name,
                             const std::string& labels,
                             const Histogram& histogram,
                             double sum);

  Sharded<Shard> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_METRICS_H_
