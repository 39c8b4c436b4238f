#include "lab/oracle.hpp"

#include <fmt/format.h>

namespace marblewood::lab {

void LimitMonitor::spend(Micros now, double units) {
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - updated_at_) / 1e6) - units;
    updated_at_ = now;
    units_sum_ += units;
    min_tokens_ = std::min(min_tokens_, tokens_);
}

double SlowStartMonitor::speed_fraction(Micros now) const {
    if (!started_at_ || model_.cold_s <= 0)
        return 1;
    const double age = static_cast<double>(now - *started_at_) / 1e6;
    return std::min(1.0, model_.slow_start_initial_fraction +
                             (1 - model_.slow_start_initial_fraction) * age / model_.cold_s);
}

void SlowStartMonitor::units_received(Micros now, double units) {
    if (!started_at_ || speed_fraction(now) >= 1)
        return;
    recent_.emplace_back(now, units);
    units_sum_ += units;
    std::size_t expired = 0;
    while (recent_[expired].first < now - window_)
        units_sum_ -= recent_[expired++].second;
    recent_.erase(recent_.begin(), recent_.begin() + static_cast<std::ptrdiff_t>(expired));
    const double permitted =
        kMaxCapacityMultiple * model_.capacity() * speed_fraction(now) * static_cast<double>(window_) / 1e6;
    worst_ = std::max(worst_, units_sum_ / permitted);
}

Oracle::Oracle(const Experiment &experiment, const Settings &settings, std::vector<int> cell_of,
               std::vector<int> plan_of, Micros start)
    : experiment_(experiment), settings_(settings), cell_of_(std::move(cell_of)),
      plan_of_(std::move(plan_of)), start_(start), gap_started_at_(cell_of_.size()),
      latencies_(boost::histogram::make_histogram(
          boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(400, 0.1,
                                                                                          100'000.0))) {
    for (const int plan : plan_of_) {
        const PlanSettings &p = settings_.plans[static_cast<std::size_t>(plan)];
        limits_.emplace_back();
        if (p.limit > 0)
            limits_.back().emplace(p.limit, p.limit_burst, p.limit_slack + 0.15 * p.limit, start);
    }
}

void Oracle::attempt_refused(Micros now, const ClientRequest &client_request) {
    ++refused_;
    const auto &limit = limits_[static_cast<std::size_t>(client_request.volume)];
    if (limit && limit->tokens_left(now) >= client_request.units)
        ++refused_with_room_;
}

void Oracle::request_started(const ClientRequest &client_request) {
    ++requests_;
    ++first_attempts_[static_cast<int>((client_request.at - start_) / 1'000'000)];
    if (client_request.surge)
        surging_volumes_.insert(client_request.volume);
}

void Oracle::request_ended(Micros now, const ClientRequest &a, bool served) {
    const auto volume = static_cast<std::size_t>(a.volume);
    const ClassSettings &cls = settings_.classes[a.write ? 1 : 0];
    if (served) {
        ++served_;
        latencies_(static_cast<double>(now - a.at) / 1000);
    }
    // Tracks the longest time for which a volume had requests but none was served.
    if (!a.surge) {
        std::optional<Micros> &from = gap_started_at_[volume];
        if (!served) {
            from = std::min(from.value_or(a.at), a.at);
        } else {
            const Micros gap = now - (from && *from < a.at ? *from : a.at);
            longest_gap_ = std::max(longest_gap_, gap);
            if (!limits_[volume])
                longest_gap_unlimited_ = std::max(longest_gap_unlimited_, gap);
            from.reset();
        }
    }
    const double second = static_cast<double>(a.at - start_) / 1e6;
    const bool in_time = served && now - a.at <= cls.deadline;
    if (!a.surge && !limits_[volume]) {
        ServiceRatio &all = unlimited_seconds_[static_cast<int>(second)];
        all.asked += a.units, all.served += in_time ? a.units : 0;
    }
    if (second < experiment_.settle)
        return;
    const auto add = [&](ServiceRatio &share) {
        share.asked += a.units;
        if (in_time)
            share.served += a.units;
    };
    add(by_cell_[cell_of_[volume]]);
    add(by_class_[a.write]);
    auto &series = served_by_second_[cell_of_[volume]];
    if (series.size() <= static_cast<std::size_t>(second))
        series.resize(static_cast<std::size_t>(second) + 1);
    if (in_time)
        series[static_cast<std::size_t>(second)] += a.units;
    if (a.surge)
        return;
    add(by_plan_[plan_of_[volume]]);
    add(volume_seconds_[{a.volume, static_cast<int>(second)}]);
}

void Oracle::charge_units(Micros now, int volume, double units) {
    if (auto &limit = limits_[static_cast<std::size_t>(volume)])
        limit->spend(now, units);
}

void Oracle::write_executed(const std::string &key, int cell) {
    cells_by_key_[key].insert(cell);
}

double Oracle::quantile(double q) const {
    double all = 0, sum = 0;
    for (const double n : latencies_)
        all += n;
    for (const auto &bin : boost::histogram::indexed(latencies_)) {
        sum += *bin;
        if (all > 0 && sum >= q * all)
            return bin.bin().upper();
    }
    return 0;
}

std::map<std::string, double> Oracle::metrics() const {
    std::map<std::string, double> m;
    const auto count = [&](const char *name, std::uint64_t n) { m[name] = static_cast<double>(n); };
    count("requests.taken", requests_);
    count("requests.served", served_);
    count("answers.once", answers_received_);
    count("answers.twice", extra_answers_);
    count("answers.never", unanswered_);
    count("answers.broken", killed_attempts_);
    count("answers.paused", paused_attempts_);
    count("answers.wrong", wrong_values_);
    count("answers.refused", refused_);
    ServiceRatio all, reserve;
    for (const auto &[cell, share] : by_cell_) {
        m[fmt::format("service.cell.{}", cell)] = share.value();
        m[fmt::format("served.cell.{}", cell)] = share.served;
        all.asked += share.asked, all.served += share.served;
    }
    m["service"] = all.value();
    for (const auto &[plan, share] : by_plan_)
        m["service.plan." + settings_.plans[static_cast<std::size_t>(plan)].name] = share.value();
    for (const auto &[cls, share] : by_class_)
        m["service.class." + settings_.classes[static_cast<std::size_t>(cls)].name] = share.value();
    // Compares, for each second, the units requested within the volume's reserve with those served in time.
    // The totals are kept by the cell in which the volume started.
    std::map<int, ServiceRatio> reserves, others;
    for (const auto &[at, share] : volume_seconds_) {
        const auto volume = static_cast<std::size_t>(at.first);
        const double promised = settings_.plans[static_cast<std::size_t>(plan_of_[volume])].reserve;
        const double due = std::min(promised, share.asked);
        reserve.asked += due, reserve.served += std::min(due, share.served);
        ServiceRatio &cell = reserves[cell_of_[volume]];
        cell.asked += due, cell.served += std::min(due, share.served);
        if (surging_volumes_.contains(at.first))
            continue;
        ServiceRatio &other = others[cell_of_[volume]];
        other.asked += due, other.served += std::min(due, share.served);
    }
    m["reserve"] = reserve.value();
    for (const auto &[cell, share] : reserves)
        m[fmt::format("reserve.cell.{}", cell)] = share.value();
    for (const auto &[cell, share] : others)
        m[fmt::format("reserve.others.cell.{}", cell)] = share.value();
    double worst = 0, used = 0;
    for (const auto &limit : limits_)
        if (limit)
            worst = std::max(worst, limit->worst_ratio()), used = std::max(used, limit->rate_utilization());
    m["limit.used"] = used;
    count("limit.refused_with_room", refused_with_room_);
    // The fraction served per second, without rate-limited volumes and surge requests: the average before the
    // surge, and the minimum from 3 s after its end.
    if (surge_end_ > 0) {
        ServiceRatio before;
        double least = 1;
        for (const auto &[at, share] : unlimited_seconds_) {
            const double from = at, over = static_cast<double>(surge_end_) / 1e6;
            if (from >= experiment_.settle && from + 1 <= experiment_.surges.front().at)
                before.asked += share.asked, before.served += share.served;
            if (from >= over + 3 && from + 1 < experiment_.seconds)
                least = std::min(least, share.value());
        }
        m["recovered"] = before.value() > 0 ? least / before.value() : 0;
    }
    // Attempts that reached nodes per client request, by the second in which the client first sent the
    // request: over the whole run, and the highest ratio over two adjacent seconds.
    std::uint64_t all_attempts = 0, first = 0, tried = 0;
    double worst_ratio = 0;
    for (const auto &[second, count_then] : first_attempts_) {
        const auto of = [](const std::map<int, std::uint64_t> &counts, int at) {
            const auto found = counts.find(at);
            return found == counts.end() ? 0 : found->second;
        };
        all_attempts += of(attempts_, second);
        first = count_then + of(first_attempts_, second - 1);
        tried = of(attempts_, second) + of(attempts_, second - 1);
        if (second > 0)
            worst_ratio = std::max(worst_ratio, static_cast<double>(tried) / static_cast<double>(first));
    }
    if (requests_ > 0)
        m["attempts.ratio"] = static_cast<double>(all_attempts) / static_cast<double>(requests_);
    m["attempts.worst"] = worst_ratio;
    m["limit.worst"] = worst;
    m["gap_ms"] = static_cast<double>(longest_gap_) / 1000;
    m["gap_ms.unlimited"] = static_cast<double>(longest_gap_unlimited_) / 1000;
    std::uint64_t doubled = 0;
    for (const auto &[key, cells] : cells_by_key_)
        doubled += cells.size() > 1;
    count("writes.doubled", doubled);
    count("writes.keys", cells_by_key_.size());
    m["latency_ms.p50"] = quantile(0.5);
    m["latency_ms.p99"] = quantile(0.99);
    m["latency_ms.p999"] = quantile(0.999);
    return m;
}

} // namespace marblewood::lab
