#include "net/input_turns.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marblewood::net {
namespace {

constexpr std::size_t kLittleInputBytes = 1024; // a few requests without a body
constexpr Micros kSetbackPerByte = 25;          // of input
constexpr Micros kSetbackPerUse = 20;
constexpr Micros kLittleUse = 1'000;
constexpr Micros kUseFadesBy = 10; // after this many times its length, use is forgotten
constexpr Micros kRoundTime = 1'000;
constexpr std::size_t kMaxRoundSize = 16;

} // namespace

Micros InputTurns::Account::use_at(Micros now) const {
    return std::max<Micros>(0, use_ - (now - used_at_) / kUseFadesBy);
}

bool InputTurns::Account::needs_turn(std::size_t input_bytes) {
    return input_bytes > kLittleInputBytes || use_at(turns_.clock_.now()) > kLittleUse;
}

asio::awaitable<void> InputTurns::Account::take_turn(std::size_t input_bytes) {
    if (turns_.open_turns_ > 0) {
        place_ = ++turns_.last_place_;
        const Micros now = turns_.clock_.now();
        const Micros setback =
            use_at(now) * kSetbackPerUse + static_cast<Micros>(input_bytes) * kSetbackPerByte;
        rank_ = now + std::min(setback, kMaxSetback);
        turns_.waiting_.emplace(Key{rank_, place_}, this);
        has_turn_ = co_await granted_.take(); // what was ready when the turn was granted has gone first
        co_return;
    }
    ++turns_.open_turns_;
    has_turn_ = true;
    co_await asio::post(turns_.executor_, asio::use_awaitable); // lets what is ready go first
}

void InputTurns::Account::end_turn() {
    if (std::exchange(has_turn_, false) && --turns_.open_turns_ == 0)
        turns_.begin_round();
}

void InputTurns::begin_round() {
    if (round_time_ > kRoundTime)
        round_size_ = std::max<std::size_t>(1, round_size_ / 2);
    else if (round_time_ < kRoundTime / 2)
        round_size_ = std::min(kMaxRoundSize, round_size_ * 2);
    round_time_ = 0;
    while (open_turns_ < round_size_ && !waiting_.empty()) {
        Account &next = *waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        next.place_ = 0;
        ++open_turns_;
        next.granted_.put(true);
    }
}

void InputTurns::Account::skip() {
    if (place_ == 0)
        return;
    turns_.waiting_.erase(Key{rank_, place_});
    place_ = 0;
    granted_.put(false);
}

void InputTurns::Account::charge(Micros started_at) {
    const Micros now = turns_.clock_.now();
    use_ = use_at(now) + (now - started_at);
    if (has_turn_)
        turns_.round_time_ += now - started_at;
    used_at_ = now;
}

} // namespace marblewood::net
