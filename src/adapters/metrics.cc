#include "rosemarywinch/adapters/metrics.h"

#include <algorithm>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 20;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 60'000;
constexpr double kMsPerSecond = 1000;

auto MakeHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      kBins, kLowestMs, kHighestMs));
}

std::string Labels(const std::string& account, RequestClass request_class) {
  return "account=\"" + account + "\",class=\"" +
         std::string(NameOf(request_class)) + "\"";
}

}  // namespace

Metrics::Series::Series() : total(MakeHistogram()), added(MakeHistogram()) {}

void Metrics::RecordRequest(const RequestSample& sample) {
  m_shards.With(sample.account, [&](Shard& shard) {
    Series& series = shard.series[{sample.account, sample.request_class}];
    ++series.outcomes[sample.refusal];
    if (sample.refusal != ErrorId::kNone) {
      return;
    }
    series.total(sample.total_ms);
    series.added(sample.added_ms);
    series.total_sum += sample.total_ms;
    series.added_sum += sample.added_ms;
  });
}

void Metrics::Add(const std::string& counter, uint64_t count) {
  m_shards.With(counter,
                [&](Shard& shard) { shard.counters[counter] += count; });
}

void Metrics::Set(const std::string& gauge, double value) {
  m_shards.With(gauge, [&](Shard& shard) { shard.gauges[gauge] = value; });
}

std::string Metrics::Text() {
  std::string text;
  m_shards.ForEach([&](const Shard& shard) {
    for (const auto& [key, series] : shard.series) {
      const std::string labels = Labels(std::get<0>(key), std::get<1>(key));
      WriteHistogram(text, "rosemarywinch_request_seconds", labels,
                     series.total, series.total_sum);
      WriteHistogram(text, "rosemarywinch_added_seconds", labels, series.added,
                     series.added_sum);
      for (const auto& [refusal, count] : series.outcomes) {
        text += "rosemarywinch_requests_total{" + labels + ",outcome=\"" +
                (refusal == ErrorId::kNone ? "answered"
                                           : std::string(NameOf(refusal))) +
                "\"} " + std::to_string(count) + "\n";
      }
    }
    for (const auto& [name, count] : shard.counters) {
      text += "rosemarywinch_" + name + " " + std::to_string(count) + "\n";
    }
    for (const auto& [name, value] : shard.gauges) {
      text += "rosemarywinch_" + name + " " + NumberText(value) + "\n";
    }
  });
  return text;
}

void Metrics::WriteHistogram(std::string& text,
                             const std::string& name,
                             const std::string& labels,
                             const Histogram& histogram,
                             double sum) {
  double cumulative = 0;
  const auto& axis = histogram.axis();
  for (int bin = -1; bin < axis.size(); ++bin) {
    cumulative += histogram.at(bin);
    const double edge = axis.value(bin + 1) / kMsPerSecond;
    text += name + "_bucket{" + labels + ",le=\"" + NumberText(edge) + "\"} " +
            NumberText(cumulative) + "\n";
  }
  cumulative += histogram.at(axis.size());
  text += name + "_bucket{" + labels + ",le=\"+Inf\"} " +
          NumberText(cumulative) + "\n" + name + "_sum{" + labels + "} " +
          NumberText(sum / kMsPerSecond) + "\n" + name + "_count{" + labels +
          "} " + NumberText(cumulative) + "\n";
}

}  // namespace rosemarywinch
