/** @file Metrics.cpp Metrics based on prometheus-cpp. */
#include "kingcup/Metrics.h"

#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace kingcup {

namespace {

const prometheus::Histogram::BucketBoundaries durationBucketsMs { 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 4096, 16384 };

} // namespace

/** Registry and the metrics created so far. */
struct Metrics::State {
    prometheus::Registry registry; ///< Owns all metrics.
    mutable std::mutex mutex; ///< Guards the maps; the metrics themselves are atomic.
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters; ///< By name and label.
    std::map<std::pair<std::string, std::pair<std::string, std::string>>, prometheus::Counter*> reasonCounters; ///< By name, label and reason.
    std::map<std::pair<std::string, std::string>, prometheus::Gauge*> gauges; ///< By name and label.
    std::map<std::pair<std::string, std::string>, prometheus::Histogram*> histograms; ///< By name and service.
    std::map<std::pair<std::string, std::pair<std::string, ResultCode>>, prometheus::Counter*> calls; ///< By service, kind and result.

    prometheus::Histogram& histogram(const std::string& name, const std::string& help, const std::string& service);
};

prometheus::Histogram& Metrics::State::histogram(const std::string& name, const std::string& help, const std::string& service)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    prometheus::Histogram*& entry = this->histograms[{ name, service }];
    if (!entry) {
        auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
        entry = &family.Add({ { "service", service } }, durationBucketsMs);
    }
    return *entry;
}

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::countCall(const std::string& service, const std::string& kind, ResultCode result)
{
    prometheus::Counter* counter = nullptr;
    {
        std::lock_guard<std::mutex> lock(this->state->mutex);
        prometheus::Counter*& entry = this->state->calls[{ service, { kind, result } }];
        if (!entry) {
            auto& family = prometheus::BuildCounter().Name("kingcup_calls_total").Help("Answered calls by result.").Register(this->state->registry);
            const ResultCodeRow& row = resultCodeRow(result);
            entry = &family.Add({ { "service", service }, { "kind", kind }, { "result", std::string(row.name) }, { "run", std::string(runStateName(row.runState)) } });
        }
        counter = entry;
    }
    counter->Increment();
}

void Metrics::recordCallDuration(const std::string& service, double totalMs, double addedMs)
{
    this->state->histogram("kingcup_call_duration_ms", "Time from a call's header to the end of its answer.", service).Observe(totalMs);
    this->state->histogram("kingcup_call_added_ms", "Part of the time that was not spent waiting for a target.", service).Observe(addedMs);
}

void Metrics::incrementCounter(const std::string& name, const std::string& label, double amount)
{
    prometheus::Counter* counter = nullptr;
    {
        std::lock_guard<std::mutex> lock(this->state->mutex);
        prometheus::Counter*& entry = this->state->counters[{ name, label }];
        if (!entry) {
            auto& family = prometheus::BuildCounter().Name(name).Help("See docs/OPERATIONS.md.").Register(this->state->registry);
            entry = &family.Add(label.empty() ? prometheus::Labels {} : prometheus::Labels { { "of", label } });
        }
        counter = entry;
    }
    counter->Increment(amount);
}

void Metrics::incrementReasonCounter(const std::string& name, const std::string& label, const std::string& reason)
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    prometheus::Counter*& entry = this->state->reasonCounters[{ name, { label, reason } }];
    if (!entry) {
        auto& family = prometheus::BuildCounter().Name(name).Help("See docs/OPERATIONS.md.").Register(this->state->registry);
        entry = &family.Add({ { "of", label }, { "reason", reason } });
    }
    entry->Increment();
}

void Metrics::setGauge(const std::string& name, double value, const std::string& label)
{
    prometheus::Gauge* gauge = nullptr;
    {
        std::lock_guard<std::mutex> lock(this->state->mutex);
        prometheus::Gauge*& entry = this->state->gauges[{ name, label }];
        if (!entry) {
            auto& family = prometheus::BuildGauge().Name(name).Help("See docs/OPERATIONS.md.").Register(this->state->registry);
            entry = &family.Add(label.empty() ? prometheus::Labels {} : prometheus::Labels { { "of", label } });
        }
        gauge = entry;
    }
    gauge->Set(value);
}

std::string Metrics::serialize() const
{
    prometheus::TextSerializer serializer;
    return serializer.Serialize(this->state->registry.Collect());
}

} // namespace kingcup
