/** @file Metrics.h Prometheus metrics of a process. */
#pragma once

#include "kingcup/ResultCode.h"

#include <memory>
#include <string>

namespace kingcup {

/** Counters, gauges and histograms, exposed in the Prometheus text format. Thread-safe. */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** Counts an answered call. @param result Result code of the answer. */
    void countCall(const std::string& service, const std::string& kind, ResultCode result);

    /** Records the time a call took and the part of it added by this VM, in milliseconds. */
    void recordCallDuration(const std::string& service, double totalMs, double addedMs);

    /** Increments a counter. Metric names are listed in docs/OPERATIONS.md. */
    void incrementCounter(const std::string& name, const std::string& label = {}, double amount = 1);

    /** Increments a counter with the labels "of" and "reason". */
    void incrementReasonCounter(const std::string& name, const std::string& label, const std::string& reason);

    /** Sets a gauge. @param label Value of the label "of"; empty for a metric without labels. */
    void setGauge(const std::string& name, double value, const std::string& label = {});

    /** Returns all metrics in the Prometheus text format. */
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
