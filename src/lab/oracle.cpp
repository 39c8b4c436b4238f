#include "lab/oracle.hpp"

#include <fmt/format.h>

namespace marblewood::lab {

void LimitWatch::spend(Micros now, double units) {
    store_ = std::min(burst_, store_ + rate_ * static_cast<double>(now - at_) / 1e6) - units;
    at_ = now;
    sum_ += units;
    least_ = std::min(least_, store_);
}

double ColdWatch::speed(Micros now) const {
    if (!since_ || model_.cold_s <= 0)
        return 1;
    const double age = static_cast<double>(now - *since_) / 1e6;
    return std::min(1.0, model_.slow_start_initial_fraction +
                             (1 - model_.slow_start_initial_fraction) * age / model_.cold_s);
}

void ColdWatch::sent(Micros now, double units) {
    if (!since_ || speed(now) >= 1)
        return;
    sent_.emplace_back(now, units);
    sum_ += units;
    std::size_t gone = 0;
    while (sent_[gone].first < now - window_)
        sum_ -= sent_[gone++].second;
    sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(gone));
    const double bears = kMultiple * model_.capacity() * speed(now) * static_cast<double>(window_) / 1e6;
    worst_ = std::max(worst_, sum_ / bears);
}

Oracle::Oracle(const Experiment &experiment, const Settings &settings, std::vector<int> cell_of,
               std::vector<int> plan_of, Micros start)
    : experiment_(experiment), settings_(settings), cell_of_(std::move(cell_of)),
      plan_of_(std::move(plan_of)), start_(start), gap_from_(cell_of_.size()),
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

void Oracle::refused(Micros now, const Asking &asking) {
    ++refused_;
    const auto &limit = limits_[static_cast<std::size_t>(asking.volume)];
    if (limit && limit->left(now) >= asking.units)
        ++refused_with_room_;
}

void Oracle::asked(const Asking &asking) {
    ++taken_;
    ++first_tries_[static_cast<int>((asking.at - start_) / 1'000'000)];
    if (asking.surge)
        surged_.insert(asking.volume);
}

void Oracle::ended(Micros now, const Asking &a, bool served) {
    const auto volume = static_cast<std::size_t>(a.volume);
    const ClassSettings &cls = settings_.classes[a.write ? 1 : 0];
    if (served) {
        ++served_;
        latencies_(static_cast<double>(now - a.at) / 1000);
    }
    // The longest time for which a volume got nothing of what it asked.
    if (!a.surge) {
        std::optional<Micros> &from = gap_from_[volume];
        if (!served) {
            from = std::min(from.value_or(a.at), a.at);
        } else {
            const Micros gap = now - (from && *from < a.at ? *from : a.at);
            gap_ = std::max(gap_, gap);
            if (!limits_[volume])
                gap_unlimited_ = std::max(gap_unlimited_, gap);
            from.reset();
        }
    }
    const double second = static_cast<double>(a.at - start_) / 1e6;
    const bool in_time = served && now - a.at <= cls.deadline;
    if (!a.surge && !limits_[volume]) {
        Share &all = all_seconds_[static_cast<int>(second)];
        all.asked += a.units, all.served += in_time ? a.units : 0;
    }
    if (second < experiment_.settle)
        return;
    const auto add = [&](Share &share) {
        share.asked += a.units;
        if (in_time)
            share.served += a.units;
    };
    add(cells_[cell_of_[volume]]);
    add(classes_[a.write]);
    auto &series = series_[cell_of_[volume]];
    if (series.size() <= static_cast<std::size_t>(second))
        series.resize(static_cast<std::size_t>(second) + 1);
    if (in_time)
        series[static_cast<std::size_t>(second)] += a.units;
    if (a.surge)
        return;
    add(plans_[plan_of_[volume]]);
    add(seconds_[{a.volume, static_cast<int>(second)}]);
}

void Oracle::at_node(Micros now, int volume, double units) {
    if (auto &limit = limits_[static_cast<std::size_t>(volume)])
        limit->spend(now, units);
}

void Oracle::ran(const std::string &key, int group) {
    groups_[key].insert(group);
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
    count("requests.taken", taken_);
    count("requests.served", served_);
    count("answers.once", answers_);
    count("answers.twice", twice_);
    count("answers.never", never_);
    count("answers.broken", broken_);
    count("answers.paused", paused_);
    count("answers.wrong", wrong_);
    count("answers.refused", refused_);
    Share all, reserve;
    for (const auto &[cell, share] : cells_) {
        m[fmt::format("service.cell.{}", cell)] = share.part();
        m[fmt::format("served.cell.{}", cell)] = share.served;
        all.asked += share.asked, all.served += share.served;
    }
    m["service"] = all.part();
    for (const auto &[plan, share] : plans_)
        m["service.plan." + settings_.plans[static_cast<std::size_t>(plan)].name] = share.part();
    for (const auto &[cls, share] : classes_)
        m["service.class." + settings_.classes[static_cast<std::size_t>(cls)].name] = share.part();
    // What is asked within its reserve, second by second; by the cell where the volume lived at the start.
    std::map<int, Share> reserves, others;
    for (const auto &[at, share] : seconds_) {
        const auto volume = static_cast<std::size_t>(at.first);
        const double promised = settings_.plans[static_cast<std::size_t>(plan_of_[volume])].reserve;
        const double due = std::min(promised, share.asked);
        reserve.asked += due, reserve.served += std::min(due, share.served);
        Share &cell = reserves[cell_of_[volume]];
        cell.asked += due, cell.served += std::min(due, share.served);
        if (surged_.contains(at.first))
            continue;
        Share &other = others[cell_of_[volume]];
        other.asked += due, other.served += std::min(due, share.served);
    }
    m["reserve"] = reserve.part();
    for (const auto &[cell, share] : reserves)
        m[fmt::format("reserve.cell.{}", cell)] = share.part();
    for (const auto &[cell, share] : others)
        m[fmt::format("reserve.others.cell.{}", cell)] = share.part();
    double worst = 0, used = 0;
    for (const auto &limit : limits_)
        if (limit)
            worst = std::max(worst, limit->worst()), used = std::max(used, limit->used());
    m["limit.used"] = used;
    count("limit.refused_with_room", refused_with_room_);
    // Service a second, volumes with limits and surges apart: before the surge, and the least from 3 s after
    // it on.
    if (surge_over_ > 0) {
        Share before;
        double least = 1;
        for (const auto &[at, share] : all_seconds_) {
            const double from = at, over = static_cast<double>(surge_over_) / 1e6;
            if (from >= experiment_.settle && from + 1 <= experiment_.surges.front().at)
                before.asked += share.asked, before.served += share.served;
            if (from >= over + 3 && from + 1 < experiment_.seconds)
                least = std::min(least, share.part());
        }
        m["recovered"] = before.part() > 0 ? least / before.part() : 0;
    }
    // Attempts at nodes for each first try, by when that was: over all, and in the worst two seconds.
    std::uint64_t all_attempts = 0, first = 0, tried = 0;
    double worst_ratio = 0;
    for (const auto &[second, count_then] : first_tries_) {
        const auto of = [](const std::map<int, std::uint64_t> &counts, int at) {
            const auto found = counts.find(at);
            return found == counts.end() ? 0 : found->second;
        };
        all_attempts += of(attempts_, second);
        first = count_then + of(first_tries_, second - 1);
        tried = of(attempts_, second) + of(attempts_, second - 1);
        if (second > 0)
            worst_ratio = std::max(worst_ratio, static_cast<double>(tried) / static_cast<double>(first));
    }
    if (taken_ > 0)
        m["attempts.ratio"] = static_cast<double>(all_attempts) / static_cast<double>(taken_);
    m["attempts.worst"] = worst_ratio;
    m["limit.worst"] = worst;
    m["gap_ms"] = static_cast<double>(gap_) / 1000;
    m["gap_ms.unlimited"] = static_cast<double>(gap_unlimited_) / 1000;
    std::uint64_t doubled = 0;
    for (const auto &[key, groups] : groups_)
        doubled += groups.size() > 1;
    count("writes.doubled", doubled);
    count("writes.keys", groups_.size());
    m["latency_ms.p50"] = quantile(0.5);
    m["latency_ms.p99"] = quantile(0.99);
    m["latency_ms.p999"] = quantile(0.999);
    return m;
}

} // namespace marblewood::lab
