/** @file Metrics.h All Prometheus metrics of a process. */
#pragma once

#include "kingcup/ResultCode.h"

#include <memory>
#include <string>

namespace kingcup {

/** Counts and gauges, exposed in the Prometheus text format. Thread-safe. */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** Counts an answered call. @param result Code of the answer. */
    void call(const std::string& service, const std::string& kind, ResultCode result);

    /** Records the time a call took and the part of it added by this VM, in milliseconds. */
    void callDuration(const std::string& service, double totalMs, double addedMs);

    /** Counts something by name. Names are listed in docs/OPERATIONS.md. */
    void count(const std::string& name, const std::string& label = {}, double amount = 1);

    /** Sets a gauge. */
    void gauge(const std::string& name, double value, const std::string& label = {});

    /** Returns the text exposition. */
    std::string expose() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
