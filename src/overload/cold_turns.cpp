#include "overload/cold_turns.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace marblewood::overload {
namespace {

constexpr int kSlots = 16;         // m: slots of a window; more waste less to rounding
constexpr int kHoldAlone = 32;     // h, where hosts can't talk: a request is likelier to find its host's turn
constexpr int kHoldTalking = 12;   // and where they can: a turn finds its request
constexpr int kGift = 4;           // g: slots for which a turn given away is good
constexpr int kStep = 97;          // hosts by which the turns of neighbouring shards are apart
constexpr Micros kAskGap = 40'000; // us between calls for one node
constexpr std::size_t kMostCalls = 16; // that may still be answered, and gifts unspent, for one node
constexpr const char *kMark = "mw-turn1";

} // namespace

ColdTurns::ColdTurns(const Settings &settings)
    : set_(settings), hold_(settings.peers ? kHoldTalking : kHoldAlone) {}

double ColdTurns::usual() const { return std::ceil(set_.mean_units); }
Micros ColdTurns::slot() const { return std::max<Micros>(1, set_.fall_window / kSlots); }
double ColdTurns::grown_a_slot() const { // how much E grows in a slot, at the least
    return set_.cold_units * (1 / set_.cold_from - 1) * static_cast<double>(slot()) /
           static_cast<double>(set_.warm_after);
}
double ColdTurns::total(const ColdNode &node, int layer, Micros at) const {
    if (layer == 0) return set_.cold_units;
    const Micros age = at - node.cold_since - set_.fall_window;
    return node.declared ? grown_a_slot() * std::max(0.0, static_cast<double>(age / slot() - 2)) : 0;
}
double ColdTurns::turns(int layer, double k) const { // A(k): turns dealt before slot k
    const double each = (kSlots + 2 + hold_) * usual();
    if (layer == 0) return std::floor(k * std::max(0.0, set_.cold_units - usual()) / each);
    const double n = std::max(0.0, k - kSlots - 3 - std::ceil(usual() / grown_a_slot()));
    return std::floor(grown_a_slot() * n * (n - 1) / 2 / each);
}
std::int64_t ColdTurns::slot_of(const ColdNode &node, int layer, Micros now) const {
    return (layer == 0 ? now : now - node.cold_since) / slot();
}
std::pair<std::int64_t, std::int64_t> ColdTurns::holders(int layer, std::int64_t k, int ahead) const {
    return {static_cast<std::int64_t>(turns(layer, static_cast<double>(k + ahead - hold_))),
            static_cast<std::int64_t>(turns(layer, static_cast<double>(k + 1)))};
}
bool ColdTurns::dealt_in_turns(const ColdNode &node, int layer, Micros now) const {
    return total(node, layer, now) / set_.hosts < usual();
}
ColdTurns::Deal ColdTurns::deal(const ColdNode &node, int layer, Micros now, int ahead) const {
    if (layer == 1 && !node.declared) return {};
    const double part = total(node, layer, now - set_.fall_window) / set_.hosts;
    Deal to{part, false};
    Micros from = now - set_.fall_window;
    if (part < usual()) {
        if (!dealt_in_turns(node, layer, now)) return {};
        const auto [first, last] = holders(layer, slot_of(node, layer, now), ahead);
        const std::int64_t mine = set_.position + static_cast<std::int64_t>(node.entry.shard) * kStep;
        if (((mine - first) % set_.hosts + set_.hosts) % set_.hosts >= last - first) return {};
        from = now - (hold_ + 1) * slot();
        to = {usual(), true};
    }
    for (const Legacy::Spent &s : node.spent)
        if (s.layer == layer && s.at >= from) to.left -= s.units;
    to.left = std::max(0.0, to.left);
    return to;
}

bool ColdTurns::awake(Micros now, Micros born) const {
    return now - born >= set_.fall_window + (set_.peers ? (kGift + 1) * slot() : 0);
}

bool ColdTurns::bears(const ColdNode &node, double units, Micros now, Micros born) const {
    if (!cold(node, now) || set_.fall_window <= 0) return true;
    if (!awake(now, born)) return false;
    double left = 0;
    for (const ColdNode::Gift &gift : node.gifts)
        if (now < gift.until) left += gift.units;
    // A deal of its own bears a request alone, as without talk; what was given adds to both.
    const double first = deal(node, 0, now).left, second = deal(node, 1, now).left;
    return units <= std::max(first, second) || (left > 0 && units <= first + second + left);
}

void ColdTurns::spend(ColdNode &node, double units, Micros now) {
    if (!cold(node, now) || set_.fall_window <= 0) return;
    for (const int layer : {0, 1}) // one that bears it alone
        if (units <= deal(node, layer, now).left) {
            node.spent.push_back({now, units, layer});
            return;
        }
    ++figures_.used; // else gifts are needed
    for (ColdNode::Gift &gift : node.gifts) {
        if (now >= gift.until) continue;
        const double part = std::min(units, gift.units);
        gift.units -= part, units -= part;
    }
    for (const int layer : {0, 1}) {
        const double part = std::min(units, deal(node, layer, now).left);
        if (part <= 0) continue;
        node.spent.push_back({now, part, layer});
        units -= part;
    }
    std::erase_if(node.gifts, [](const ColdNode::Gift &g) { return g.units <= 0; });
}

void ColdTurns::forget(ColdNode &node, Micros now) {
    const Micros longest = std::max<Micros>(set_.fall_window, (hold_ + 1) * slot()) + set_.fall_window;
    while (!node.spent.empty() && node.spent.front().at < now - longest) node.spent.pop_front();
    figures_.wasted += std::erase_if(node.gifts, [&](const ColdNode::Gift &g) { return now >= g.until; });
    std::erase_if(node.calls, [&](const ColdNode::Call &c) { return now - c.at > set_.fall_window; });
}

std::optional<TellPeers> ColdTurns::ask(ColdNode &node, Micros now, Micros born) {
    if (!set_.peers || !cold(node, now) || set_.fall_window <= 0 || !awake(now, born)) return std::nullopt;
    if (!node.calls.empty() && now - node.calls.back().at < kAskGap) return std::nullopt;
    for (int tried = 0; tried < 2; ++tried) {
        const int layer = node.asked & 1;
        const int nth = node.asked++ / 2;
        if ((layer == 1 && !node.declared) || !dealt_in_turns(node, layer, now)) continue;
        const auto [first, last] = holders(layer, slot_of(node, layer, now), kGift);
        if (last <= first) continue;
        const std::int64_t host = first + nth % (last - first);
        const std::int64_t place = host - static_cast<std::int64_t>(node.entry.shard) * kStep;
        const auto peer = static_cast<int>((place % set_.hosts + set_.hosts) % set_.hosts);
        if (peer == set_.position) continue;
        forget(node, now);
        if (node.calls.size() >= kMostCalls) node.calls.pop_front();
        // With the time in it, no forerunner or successor of this process calls by the same number.
        const std::uint64_t number = static_cast<std::uint64_t>(now) << 10 | (++calls_ & 1023);
        node.calls.push_back({number, now});
        ++figures_.asked;
        return TellPeers{peer, std::string(kMark) + " ask " + std::to_string(node.entry.named) + " " +
                                   std::to_string(number) + " " + std::to_string(layer) + " " +
                                   std::to_string(layer == 1 ? node.cold_since : 0)};
    }
    return std::nullopt;
}

std::optional<ColdTurns::Word> ColdTurns::read(const std::string &data) {
    Word word;
    const std::string ask = std::string(kMark) + " ask ", gift = std::string(kMark) + " give ";
    word.gift = data.starts_with(gift);
    bool good = word.gift || data.starts_with(ask);
    const char *const end = data.data() + data.size(),
                      *at = good ? data.data() + (word.gift ? gift : ask).size() : end;
    const auto number = [&](auto &into) {
        if (!good) return;
        const auto [next, error] = std::from_chars(at, end, into);
        good = error == std::errc() && (next == end || *next == ' ');
        at = next == end ? end : next + 1;
    };
    number(word.node), number(word.number), number(word.layer), number(word.at);
    if (good && at == end && (word.layer == 0 || word.layer == 1)) return word;
    ++figures_.strange;
    return std::nullopt;
}

std::optional<TellPeers> ColdTurns::give(ColdNode &node, const Word &call, int to, Micros now, Micros born) {
    if (!set_.peers || !cold(node, now) || set_.fall_window <= 0 || !awake(now, born)) return std::nullopt;
    if (call.layer == 1 && !(node.declared && node.cold_since == call.at)) return std::nullopt;
    const Deal mine = deal(node, call.layer, now, kGift);
    if (!mine.in_turns || mine.left < usual()) return std::nullopt; // none, or begun
    node.spent.push_back({now, usual(), call.layer});
    ++figures_.given;
    return TellPeers{to, std::string(kMark) + " give " + std::to_string(node.entry.named) + " " +
                             std::to_string(call.number) + " " + std::to_string(call.layer) + " " +
                             std::to_string(now + kGift * slot())};
}

bool ColdTurns::take(ColdNode &node, const Word &gift, Micros now) {
    const auto call = std::find_if(node.calls.begin(), node.calls.end(),
                                   [&](const ColdNode::Call &c) { return c.number == gift.number; });
    if (call == node.calls.end()) return false;
    const Micros longest = call->at + kGift * slot() + set_.fall_window;
    node.calls.erase(call);
    if (now >= gift.at || gift.at > longest || !cold(node, now)) {
        ++figures_.wasted;
        return false;
    }
    ++figures_.taken;
    node.gifts.push_back({gift.at, usual()});
    return true;
}

} // namespace marblewood::overload
