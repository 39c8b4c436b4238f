#include "overload/limit_loans.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

namespace marblewood::overload {
namespace {

constexpr Micros kLife = 500'000;  // us that a loan lives, at the most
constexpr double kDrift = 1.05;    // by which the lender's clock may run faster than the borrower's,
constexpr Micros kMargin = 20'000; // and us besides
constexpr double kLentPart = 0.5;  // of its room that a host lends at once
constexpr double kDemand = 1e6;    // us over which the demand is averaged
constexpr double kAhead = 0.25;    // s of its demand that a host calls for, and that a lender keeps
constexpr Micros kAskGap = 30'000; // us between calls for one volume
constexpr Micros kDryGap = 60'000, kMostDryGap = 1'000'000; // us until one that had nothing is asked again,
                                                            // at first and at most; doubled each time
constexpr Micros kCryGap = 2'000'000,
                 kMostCryGap = 32'000'000; // us between calls to all, four times each time
constexpr Micros kHeard = 20'000'000;      // us after which a sharer that says nothing is forgotten
constexpr std::size_t kMostCalls = 16;     // that may still be answered
constexpr const char *kAsk = "mw-loan1 ask ", *kGive = "mw-loan1 give ";

double sum(const std::deque<LimitLedger::Loan> &loans, Micros now) {
    return std::accumulate(loans.begin(), loans.end(), 0.0, [&](double all, const LimitLedger::Loan &loan) {
        return all + (now < loan.until ? loan.units : 0);
    });
}
// The store at `now`; what is lent ends on the way, and each end makes room only from then on.
double filled(const LimitLedger &ledger, Micros now) {
    if (ledger.frozen) return ledger.store;
    double store = ledger.store;
    Micros at = ledger.at;
    const auto until = [&](Micros then) {
        const double room = std::max(0.0, ledger.burst - sum(ledger.lent, at));
        if (then <= at) return;
        store = std::min(store + ledger.rate * static_cast<double>(then - at) / 1e6, room);
        at = then;
    };
    for (const LimitLedger::Loan &loan : ledger.lent) until(std::min(loan.until, now));
    until(now);
    return store;
}
std::string spell(const char *what, VolumeId volume, std::uint64_t number, double units) {
    char text[80];
    char *at = std::to_chars(text, text + 20, static_cast<std::uint64_t>(volume), 16).ptr;
    *at++ = ' ';
    at = std::to_chars(at, at + 20, number, 16).ptr;
    *at++ = ' ';
    at = std::to_chars(at, at + 20, static_cast<std::int64_t>(units)).ptr;
    return what + std::string(text, at);
}

} // namespace

Micros LimitLoans::life(const LimitLedger &ledger) const {
    if (ledger.rate <= 0) return 0;
    return std::min(kLife, static_cast<Micros>((1 - kLentPart) * ledger.burst / ledger.rate * 1e6 / kDrift) -
                               kMargin);
}

void LimitLoans::settle(LimitLedger &ledger, Micros now) {
    ledger.store = filled(ledger, now);
    ledger.at = now;
    std::erase_if(ledger.lent, [&](const LimitLedger::Loan &loan) { return now >= loan.until; });
    std::erase_if(ledger.borrowed, [&](const LimitLedger::Loan &loan) {
        if (now >= loan.until) figures_.wasted += loan.units;
        return now >= loan.until;
    });
    const double keep = std::exp(-static_cast<double>(now - ledger.demand_at) / kDemand);
    ledger.demand *= keep;
    ledger.demand_at = now;
}

void LimitLoans::fill(LimitLedger &ledger, double rate, double burst, int hosts, Micros now) {
    if (ledger.at == 0)
        ledger.at = ledger.demand_at = now; // empty, since a forerunner may just have spent it
    settle(ledger, now);
    ledger.hosts = std::max(1, hosts);
    ledger.rate = rate / ledger.hosts, ledger.burst = burst / ledger.hosts;
    if (!ledger.frozen)
        ledger.store = std::min(ledger.store, std::max(0.0, ledger.burst - sum(ledger.lent, now)));
}
void LimitLoans::wants(LimitLedger &ledger, double units, Micros now) {
    settle(ledger, now);
    ledger.demand += units * 1e6 / kDemand;
}
double LimitLoans::left(const LimitLedger &ledger, Micros now) const {
    return filled(ledger, now) + sum(ledger.borrowed, now);
}

void LimitLoans::spend(LimitLedger &ledger, double units, Micros now) {
    settle(ledger, now);
    for (LimitLedger::Loan &loan : ledger.borrowed) { // what ends soonest first
        const double part = std::min(units, loan.units);
        loan.units -= part, units -= part, figures_.used += part;
    }
    std::erase_if(ledger.borrowed, [](const LimitLedger::Loan &loan) { return loan.units <= 0; });
    ledger.store -= units;
}

std::optional<TellPeers> LimitLoans::ask(LimitLedger &ledger, VolumeId volume, double units, bool worthy,
                                         Micros now) {
    if (!set_.peers || ledger.hosts < 2 || ledger.frozen || life(ledger) <= 0) return std::nullopt;
    if (now - ledger.asked < kAskGap) return std::nullopt;
    settle(ledger, now);
    std::erase_if(ledger.sharers, [&](const auto &sharer) { return now - sharer.second.heard > kHeard; });
    std::optional<int> whom;
    if (worthy && static_cast<int>(ledger.sharers.size()) < ledger.hosts - 1 && // some are not known yet
        now - ledger.cried >= ledger.cry_gap) {
        ledger.cry_gap = std::clamp(4 * ledger.cry_gap, kCryGap, kMostCryGap);
        ledger.cried = now;
        ++figures_.cried;
    } else {
        const auto turn = [&](const auto &sharer) { // those behind the last one first
            return std::pair(sharer.first <= ledger.last, sharer.first);
        };
        for (const auto &sharer : ledger.sharers)
            if (now >= sharer.second.next && (!whom || turn(sharer) < std::pair(*whom <= ledger.last, *whom)))
                whom = sharer.first;
        if (!whom) return std::nullopt;
        ledger.last = *whom;
    }
    ledger.asked = now;
    if (ledger.calls.size() >= kMostCalls) ledger.calls.pop_front();
    const double wanted =
        std::ceil(std::clamp(units - left(ledger, now) + kAhead * ledger.demand, 1.0, ledger.burst));
    // With the time in it, no forerunner or successor of this process calls by the same number.
    const std::uint64_t number = static_cast<std::uint64_t>(now) << 8 | (++calls_ & 255);
    ledger.calls.push_back({number, now, wanted, {}});
    ++figures_.asked;
    return TellPeers{whom, spell(kAsk, volume, number, wanted)};
}

bool LimitLoans::speaks(const std::string &data) { return data.starts_with("mw-loan"); }

std::optional<LimitLoans::Word> LimitLoans::read(const std::string &data) {
    Word word;
    word.gift = data.starts_with(kGive);
    bool good = word.gift || data.starts_with(kAsk);
    const char *const end = data.data() + data.size(),
                      *at =
                          good ? data.data() + std::char_traits<char>::length(word.gift ? kGive : kAsk) : end;
    const auto number = [&](auto &into, int base) {
        if (!good) return;
        const auto [next, error] = std::from_chars(at, end, into, base);
        good = error == std::errc() && (next == end || *next == ' ');
        at = next == end ? end : next + 1;
    };
    std::uint64_t volume = 0;
    std::uint32_t units = 0;
    number(volume, 16), number(word.number, 16), number(units, 10);
    word.volume = VolumeId{volume}, word.units = units;
    if (good && at == end) return word;
    ++figures_.strange;
    return std::nullopt;
}

std::optional<TellPeers> LimitLoans::give(LimitLedger &ledger, const Word &call, int to, Micros now) {
    if (!set_.peers || ledger.frozen || ledger.at == 0 || life(ledger) <= 0) return std::nullopt;
    settle(ledger, now);
    ledger.sharers[to].heard = now;
    const double keeps = ledger.demand > 0 ? kAhead * ledger.demand + set_.mean_units : 0;
    const double may = std::min(ledger.store - keeps, kLentPart * ledger.burst - sum(ledger.lent, now));
    const double units = std::floor(std::min(call.units, may));
    if (units >= 1) {
        ledger.store -= units;
        ledger.lent.push_back(
            {now + static_cast<Micros>(static_cast<double>(life(ledger)) * kDrift) + kMargin, units});
        std::ranges::sort(ledger.lent, {}, &LimitLedger::Loan::until);
        figures_.lent += units;
    } // else the answer says only that this host shares the volume
    return TellPeers{to, spell(kGive, call.volume, call.number, std::max(units, 0.0))};
}

bool LimitLoans::take(LimitLedger &ledger, const Word &gift, int from, Micros now) {
    const auto call = std::find_if(ledger.calls.begin(), ledger.calls.end(),
                                   [&](const LimitLedger::Call &c) { return c.number == gift.number; });
    if (call == ledger.calls.end() || std::ranges::count(call->answered, from)) return false;
    LimitLedger::Sharer &sharer = ledger.sharers[from];
    sharer.heard = now;
    sharer.gap = gift.units >= 1 ? 0 : std::clamp(2 * sharer.gap, kDryGap, kMostDryGap);
    sharer.next = now + sharer.gap;
    call->answered.push_back(from); // a call to all is answered by several, once by each
    if (gift.units < 1 || gift.units > call->units || ledger.frozen) return false;
    const Micros until = call->at + life(ledger);
    if (now >= until) {
        figures_.wasted += gift.units;
        return false;
    }
    figures_.taken += gift.units;
    ledger.borrowed.push_back({until, gift.units});
    std::ranges::sort(ledger.borrowed, {}, &LimitLedger::Loan::until);
    return true;
}

double LimitLoans::store(const LimitLedger &ledger, Micros now) const { return filled(ledger, now); }
double LimitLoans::lent(const LimitLedger &ledger, Micros now) const { return sum(ledger.lent, now); }
void LimitLoans::inherit(LimitLedger &ledger, double store, double units, Micros now) {
    ledger.store = store, ledger.at = ledger.demand_at = now;
    ledger.lent.clear(), ledger.borrowed.clear();
    if (units > 0) ledger.lent.push_back({now + static_cast<Micros>(kLife * kDrift) + kMargin, units});
}
void LimitLoans::freeze(LimitLedger &ledger, bool on, double kept, Micros now) {
    settle(ledger, now);
    ledger.frozen = on;
    ledger.store = on ? std::min(ledger.store, kept) : 0;
    ledger.borrowed.clear();
}

} // namespace marblewood::overload
