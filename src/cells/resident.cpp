#include "cells/resident.hpp"

#include <algorithm>

namespace marblewood::cells {
namespace {

constexpr Micros kForgetVolume = 10'000'000; // us of disuse

std::uint64_t number(VolumeId v) {
    return static_cast<std::uint64_t>(v);
}

} // namespace

Resident::Resident(std::string name, Stores &stores, Timing timing, Micros now)
    : name_(std::move(name)), stores_(stores), timing_(timing), born_(now) {}

void Resident::restore(State state) {
    map_ = std::move(state.map);
    vouched_ = map_.has_value();
    greatest_ = state.greatest;
    records_ = std::move(state.records);
    moving_ = std::move(state.moving);
}

const Resident::Record *Resident::record(VolumeId volume) const {
    const auto at = records_.find(volume);
    return at == records_.end() ? nullptr : &at->second;
}
bool Resident::fenced(VolumeId volume) const {
    const Record *const r = record(volume);
    return r && (r->stage == Stage::Fenced || r->stage == Stage::Drained);
}
bool Resident::stands(const Record &r) const {
    return r.home_number > map_->epoch.number || moving_.contains(r.home_number);
}
// Where it lives as far as is known here: a move that ended here after the map was drawn is known better.
const Cell *Resident::home(VolumeId volume) const {
    if (!map_)
        return nullptr;
    if (const Record *const r = record(volume); r && stands(*r))
        return map_->cell(r->home);
    return map_->home(volume);
}

Route Resident::route(Micros now, const Asked &asked) const {
    using Kind = Route::Kind;
    const Cell *const at = home(asked.volume);
    const Cell *const mine = cell();
    const auto known = volumes_.find(number(asked.volume));
    const auto forward = [&](const std::string &to) {
        return asked.hops < kMostHops ? Route{Kind::Forward, to, 1} : Route{};
    };
    if (!at || !mine)
        return {};
    const auto hosts = [&](const Cell &in) {
        return static_cast<int>(map_->brokers_of(asked.volume, in).size());
    };
    if (asked.key) { // a repeat goes where the first may have run
        if (const auto to = afar_.find(asked.volume); to != afar_.end())
            if (const auto key = to->second.find(*asked.key);
                key != to->second.end() && key->second.until > now)
                return forward(key->second.broker);
        if (at != mine && known != volumes_.end())
            if (const auto key = known->second.keys.find(*asked.key);
                key != known->second.keys.end() && key->second.until > now) {
                const bool room = !asked.limited || known->second.kept >= asked.units;
                return room ? Route{Kind::Serve, {}, hosts(*mine)} : Route{};
            }
    }
    if (fenced(asked.volume))
        return {Kind::Wait, {}, 1};
    if (at == mine && map_->uses(asked.volume, *at, name_)) {
        if (ready_ == 0)
            return {}; // none of the cell's nodes takes anything: the client learns at once
        return {Kind::Serve, {}, hosts(*at)};
    }
    const auto brokers = map_->brokers_of(asked.volume, *at);
    if (brokers.empty())
        return {};
    return forward(brokers[turn_++ % brokers.size()]->name);
}

void Resident::began(Micros now, const Asked &asked) {
    Volume &v = volumes_[number(asked.volume)];
    ++v.open;
    v.used = now;
    v.reserve = asked.reserve;
    v.worth = asked.worth;
    if (asked.key) {
        Key &key = v.keys[*asked.key];
        key.until = std::max(key.until, asked.until + timing_.keep_keys);
        key.units = asked.units;
        key.limited = asked.limited;
        ++key.open;
    }
    // A repeat served for a volume that has gone is paid out of what was kept for it.
    if (asked.limited && home(asked.volume) != cell()) {
        v.kept = std::max(0.0, v.kept - asked.units);
        stores_.give(asked.volume, asked.units, 0);
    }
}

void Resident::ended(Micros now, const Asked &asked, bool served, std::vector<Action> &actions) {
    const auto at = volumes_.find(number(asked.volume));
    if (at == volumes_.end())
        return;
    Volume &v = at->second;
    if (v.open > 0)
        --v.open;
    v.used = now;
    if (served)
        v.units += asked.units;
    if (asked.key)
        if (const auto key = v.keys.find(*asked.key); key != v.keys.end()) {
            if (key->second.open > 0)
                --key->second.open;
            key->second.served |= served;
            key->second.until = std::max(key->second.until, now + timing_.keep_keys);
        }
    if (v.open == 0 && fenced(asked.volume))
        drain(now, asked.volume, actions);
}

// Gives up what is left, once nothing of the volume is open here.
void Resident::drain(Micros now, VolumeId volume, std::vector<Action> &actions) {
    Record &r = records_.at(volume);
    Volume &v = volumes_[number(volume)];
    if (r.stage != Stage::Fenced || v.open > 0 || now < born_ + timing_.vouch_after)
        return;
    r.left = stores_.take(volume);
    v.kept = 0;
    for (const auto &[hash, key] : v.keys) {
        if (key.until <= now)
            continue;
        r.left.keys.push_back({hash, key.until, name_});
        if (key.limited && !key.served)
            v.kept += key.units;
    }
    // Keys that came here with an earlier move and still count go on with the volume.
    if (const auto to = afar_.find(volume); to != afar_.end())
        for (const auto &[hash, far] : to->second)
            if (far.until > now)
                r.left.keys.push_back({hash, far.until, far.broker});
    v.kept = std::min(v.kept, r.left.limit);
    r.left.limit -= v.kept;
    r.stage = Stage::Drained;
    actions.emplace_back(Save{});
    actions.emplace_back(Post{"", Answer{Word::Drained, volume, r.move, r.left, {}}});
}

void Resident::give_back(VolumeId volume, Record &r, std::vector<Action> &actions) {
    if (r.stage == Stage::Drained) {
        Volume &v = volumes_[number(volume)];
        stores_.give(volume, r.left.limit + v.kept, r.left.reserve);
        v.kept = 0;
    }
    r.stage = Stage::Over;
    r.left = {};
    actions.emplace_back(Save{});
    actions.emplace_back(Resolve{volume});
}

void Resident::let_go(VolumeId volume, Record &r, std::vector<Action> &actions) {
    r.stage = Stage::Gone;
    r.home = r.to;
    r.home_number = r.move.number;
    r.left = {};
    afar_.erase(volume);
    actions.emplace_back(Save{});
    actions.emplace_back(Resolve{volume});
}

void Resident::handle(Micros now, const std::string &from, const Message &message,
                      std::vector<Action> &actions) {
    if (const auto *order = std::get_if<Order>(&message))
        on(now, from, *order, actions);
    if (const auto *news = std::get_if<News>(&message)) {
        if (from.empty())
            vouched_ = true;
        on(now, *news, actions);
    }
    if (const auto *change = std::get_if<Change>(&message))
        on(now, *change, actions);
    if (const auto *ask = std::get_if<Ask>(&message))
        on(*ask, from, actions);
    if (const auto *told = std::get_if<Told>(&message))
        on(now, *told, actions);
    if (const auto *hello = std::get_if<Hello>(&message)) // another broker's map is older than ours
        if (map_ && hello->map.number < map_->epoch.number)
            actions.emplace_back(Post{from, News{*map_, {}}});
}

void Resident::on(Micros now, const std::string &, const Order &o, std::vector<Action> &actions) {
    const auto answer = [&](Word word, Left left = {}, std::string why = {}) {
        actions.emplace_back(Post{"", Answer{word, o.volume, o.move, std::move(left), std::move(why)}});
    };
    const auto at = records_.find(o.volume);
    const bool same = at != records_.end() && at->second.move == o.move;
    if (at != records_.end() && !same && at->second.move.number >= o.move.number)
        return answer(Word::Void);
    if (at == records_.end() && map_ && o.move.number < map_->epoch.number &&
        !moving_.contains(o.move.number))
        return answer(Word::Void); // of a move that was over when the map was drawn
    meet(o.move);
    const Stage stage = same ? at->second.stage : Stage::Over;
    const auto begin = [&](Stage first) -> Record & {
        Record fresh{o.move, first, o.from, o.to, o.teller, {}, now};
        if (at != records_.end())
            fresh.home = at->second.home, fresh.home_number = at->second.home_number;
        return records_[o.volume] = std::move(fresh);
    };
    switch (o.verb) {
    case Verb::Prepare: {
        if (same)
            return answer(stage == Stage::Opened ? Word::Opened
                          : stage == Stage::Over ? Word::Void
                                                 : Word::Ready);
        const Cell *const mine = cell();
        if (!mine || mine->name != o.to)
            return answer(Word::Declined, {}, "not a broker of the cell");
        if (ready_ == 0)
            return answer(Word::Declined, {}, "no node of the cell takes requests");
        begin(Stage::Ready);
        actions.emplace_back(Save{});
        return answer(Word::Ready);
    }
    case Verb::Fence:
        if (!same) {
            begin(Stage::Fenced);
            actions.emplace_back(Save{});
            drain(now, o.volume, actions);
            if (records_[o.volume].stage == Stage::Fenced)
                answer(Word::Fenced);
            return;
        }
        at->second.since = now;
        if (stage == Stage::Fenced) {
            drain(now, o.volume, actions);
            if (at->second.stage == Stage::Fenced)
                answer(Word::Fenced);
            return;
        }
        if (stage == Stage::Drained)
            return answer(Word::Drained, at->second.left);
        return answer(Word::Void);
    case Verb::Adopt:
        if (!same)
            return answer(Word::Void);
        if (stage == Stage::Ready) {
            at->second.stage = Stage::Adopted;
            at->second.left = o.left;
            actions.emplace_back(Save{});
        } else if (stage != Stage::Adopted && stage != Stage::Opened) {
            return answer(Word::Void);
        }
        return answer(stage == Stage::Opened ? Word::Opened : Word::Adopted);
    case Verb::Open:
        if (!same)
            return answer(Word::Void);
        if (stage == Stage::Adopted) {
            Record &r = at->second;
            r.stage = Stage::Opened;
            r.home = r.to;
            r.home_number = r.move.number;
            stores_.give(o.volume, r.left.limit, r.left.reserve);
            for (const Left::Key &key : r.left.keys)
                if (key.source != name_)
                    afar_[o.volume][key.hash] = {key.source, key.until};
            r.left = {};
            actions.emplace_back(Save{});
            actions.emplace_back(Resolve{o.volume});
        } else if (stage != Stage::Opened) {
            return answer(Word::Void);
        }
        return answer(Word::Opened);
    case Verb::Forget:
        if (same && (stage == Stage::Drained || stage == Stage::Fenced))
            let_go(o.volume, at->second, actions);
        return answer(Word::Forgotten);
    case Verb::Abort:
        if (!same) { // it must mean nothing here when its first orders come late
            begin(Stage::Over);
            actions.emplace_back(Save{});
            return answer(Word::Aborted);
        }
        if (stage == Stage::Opened)
            return answer(Word::Opened); // the teller's word stands
        if (stage == Stage::Fenced || stage == Stage::Drained) {
            give_back(o.volume, at->second, actions);
        } else if (stage != Stage::Over) {
            at->second.stage = Stage::Over;
            at->second.left = {};
            actions.emplace_back(Save{});
        }
        return answer(Word::Aborted);
    }
}

void Resident::on(Micros now, const Change &change, std::vector<Action> &actions) {
    meet(change.epoch);
    if (map_ && change.epoch == map_->epoch)
        return;
    if (!map_ || !(change.base == map_->epoch))
        return hello(now, actions); // the whole is needed
    News news{*map_, change.moving};
    news.map.epoch = change.epoch;
    for (const auto &[volume, cell] : change.pins) {
        if (cell.empty())
            news.map.pins.erase(volume);
        else if (news.map.cell(cell))
            news.map.pins[volume] = cell;
    }
    on(now, news, actions);
}

void Resident::on(Micros now, const News &news, std::vector<Action> &actions) {
    meet(news.map.epoch);
    if (map_ && news.map.epoch == map_->epoch)
        return;
    if (map_ && news.map.epoch.number <= map_->epoch.number) {
        actions.emplace_back(Post{"", Behind{map_->epoch, greatest_, *map_}});
        return;
    }
    map_ = news.map;
    moving_.clear();
    for (const News::Moving &m : news.moving) {
        moving_.insert(m.move.number);
        meet(m.move);
        // Its source, if it does not know that it is fenced, has started anew.
        const Record *const r = record(m.volume);
        const Cell *const mine = cell();
        if (mine && mine->name == m.from && map_->uses(m.volume, *mine, name_) &&
            (!r || r->move.number < m.move.number))
            records_[m.volume] =
                Record{m.move,           Stage::Fenced,         m.from, m.to, m.teller, {}, now,
                       r ? r->home : "", r ? r->home_number : 0};
    }
    // What is over, and older than the map, is told by the map.
    std::erase_if(records_, [&](const auto &entry) {
        const Record &r = entry.second;
        const bool holds =
            r.stage == Stage::Fenced || r.stage == Stage::Drained; // until it hears how it went
        return !holds && r.move.number < map_->epoch.number && !moving_.contains(r.move.number) && !stands(r);
    });
    actions.emplace_back(Save{});
    actions.emplace_back(MapTaken{});
}

// The teller's word decides, so it is written down before it is said. One that has forgotten what it said (it
// started anew, without its file) is silent until the keeper has told it how things stand.
void Resident::on(const Ask &ask, const std::string &from, std::vector<Action> &actions) {
    if (!vouched_ || !map_)
        return;
    meet(ask.move);
    const auto at = records_.find(ask.volume);
    if (at != records_.end() && at->second.move.number > ask.move.number)
        return;
    bool opened = false;
    if (at != records_.end() && at->second.move == ask.move) {
        opened = at->second.stage == Stage::Opened;
        if (!opened && at->second.stage != Stage::Over) {
            at->second.stage = Stage::Over;
            at->second.left = {};
            actions.emplace_back(Save{});
        }
    } else if (map_->epoch.number > ask.move.number && !moving_.contains(ask.move.number)) {
        const Cell *const at_home = map_->home(ask.volume);
        opened = at_home && at_home->name == ask.to;
    } else {
        records_[ask.volume] = Record{ask.move, Stage::Over, ask.from, ask.to, name_, {}, 0};
        actions.emplace_back(Save{});
    }
    actions.emplace_back(Post{from, Told{ask.volume, ask.move, opened}});
}

void Resident::on(Micros now, const Told &told, std::vector<Action> &actions) {
    const auto at = records_.find(told.volume);
    if (at == records_.end() || !(at->second.move == told.move) || !fenced(told.volume))
        return;
    at->second.since = now;
    if (told.opened)
        let_go(told.volume, at->second, actions);
    else
        give_back(told.volume, at->second, actions);
}

void Resident::hello(Micros now, std::vector<Action> &actions) {
    Hello h{map_ ? map_->epoch : Epoch{}, greatest_, {}, 0, ready_};
    const bool roll = now - greeted_ >= timing_.hello_every / 2; // else too short a time to tell a rate by
    const double seconds = static_cast<double>(now - greeted_) / 1e6;
    for (auto &[id, v] : volumes_) {
        if (roll) {
            v.rate = greeted_ > 0 ? 0.5 * v.rate + 0.5 * v.units / seconds : 0;
            v.units = 0;
        }
        if (home(VolumeId{id}) == cell())
            h.volumes.push_back({VolumeId{id}, v.reserve, v.rate, v.worth});
    }
    std::sort(h.volumes.begin(), h.volumes.end(), [](const auto &a, const auto &b) {
        return a.rate != b.rate ? a.rate > b.rate : a.volume < b.volume;
    });
    if (h.volumes.size() > kMostReported) {
        h.others = h.volumes.size() - kMostReported;
        h.volumes.resize(kMostReported);
    }
    if (roll)
        greeted_ = now;
    actions.emplace_back(Post{"", std::move(h)});
}

void Resident::tick(Micros now, std::vector<Action> &actions) {
    if (now - greeted_ >= timing_.hello_every)
        hello(now, actions);
    for (auto &[volume, r] : records_) {
        if (r.stage != Stage::Fenced && r.stage != Stage::Drained)
            continue;
        if (r.stage == Stage::Fenced)
            drain(now, volume, actions);
        if (now - r.since < timing_.ask_after)
            continue;
        r.since = now;
        if (!r.teller.empty())
            actions.emplace_back(Post{r.teller, Ask{volume, r.move, r.from, r.to}});
    }
    for (auto &[id, v] : volumes_)
        std::erase_if(v.keys, [&](const auto &k) { return k.second.open == 0 && k.second.until <= now; });
    std::erase_if(volumes_, [&](const auto &entry) {
        const Volume &v = entry.second;
        return v.open == 0 && v.keys.empty() && now - v.used > kForgetVolume &&
               !fenced(VolumeId{entry.first});
    });
    for (auto &[volume, keys] : afar_)
        std::erase_if(keys, [&](const auto &k) { return k.second.until <= now; });
    std::erase_if(afar_, [](const auto &entry) { return entry.second.empty(); });
}

Resident::Held Resident::held() const {
    Held h{volumes_.size(), 0, 0, records_.size(), 0};
    for (const auto &[id, v] : volumes_)
        h.keys += v.keys.size();
    for (const auto &[volume, keys] : afar_)
        h.afar += keys.size();
    for (const auto &[volume, r] : records_)
        h.fenced += fenced(volume);
    return h;
}

} // namespace marblewood::cells
