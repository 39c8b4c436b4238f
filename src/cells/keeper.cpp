#include "cells/keeper.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace marblewood::cells {
namespace {

constexpr Micros kRest = 2'000'000; // us after a move that went back, before a rule tries it again

std::string spell(VolumeId v) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(v));
}

constexpr const char *kStages[] = {"preparing", "fencing", "draining",   "adopting",
                                   "deciding",  "opening", "forgetting", "going back"};

} // namespace

Keeper::Keeper(Map first, std::uint64_t origin, Timing timing)
    : map_(std::move(first)), origin_(origin), timing_(timing) {
    check(map_);
    counter_ = map_.epoch.number;
    map_.epoch.origin = origin_;
}

void Keeper::restore(State state) {
    counter_ = std::max(counter_, state.counter);
    take_over(state.map);
    by_operator_ = std::move(state.by_operator);
    moves_ = std::move(state.moves);
    std::erase_if(moves_, [&](const auto &entry) { // the file may have dropped a cell since
        return !map_.cell(entry.second.from) || !map_.cell(entry.second.to);
    });
    for (auto &[volume, move] : moves_) {
        move.done.clear();
        move.repeated = move.since = 0;
        counter_ = std::max(counter_, move.epoch.number);
    }
}

// Pins and states of cells are what a map of an earlier run knows better than the operators' file.
void Keeper::take_over(const Map &map) {
    map_.epoch = map.epoch;
    map_.pins.clear();
    for (const auto &[volume, cell] : map.pins)
        if (map_.cell(cell))
            map_.pins[volume] = cell;
    for (Cell &cell : map_.cells)
        if (const Cell *const before = map.cell(cell.name))
            cell.frozen = before->frozen, cell.evacuated = before->evacuated;
    counter_ = std::max(counter_, map.epoch.number);
}

// To brokers that hold the last map, and where only some pins have changed, just these.
void Keeper::publish(std::vector<KeeperAction> &actions) {
    constexpr std::size_t kMostChanged = 256;
    map_.epoch = {next(), origin_};
    actions.emplace_back(Save{});
    Change change{published_.epoch, map_.epoch, {}, moving()};
    for (const auto &[volume, cell] : map_.pins)
        if (const auto was = published_.pins.find(volume);
            was == published_.pins.end() || was->second != cell)
            change.pins.emplace_back(volume, cell);
    for (const auto &[volume, cell] : published_.pins)
        if (!map_.pins.contains(volume))
            change.pins.emplace_back(volume, "");
    const bool small = published_.cells == map_.cells && published_.spare == map_.spare &&
                       published_.spread == map_.spread && change.pins.size() <= kMostChanged;
    for (const Cell &cell : map_.cells)
        for (const Broker &broker : cell.brokers) {
            const auto heard = heard_.find(broker.name);
            if (small && heard != heard_.end() && heard->second.map == published_.epoch) {
                actions.emplace_back(Post{broker.name, change});
            } else {
                news_to(broker.name, actions);
            }
            if (heard != heard_.end())
                heard->second.map = map_.epoch; // if it is lost, the next Hello will tell
        }
    published_ = map_;
}

std::vector<News::Moving> Keeper::moving() const {
    std::vector<News::Moving> all;
    for (const auto &[volume, move] : moves_)
        all.push_back({volume, move.epoch, move.from, move.to, move.teller});
    return all;
}

void Keeper::news_to(const std::string &broker, std::vector<KeeperAction> &actions) const {
    actions.emplace_back(Post{broker, News{map_, moving()}});
}

// No number is given out before a majority of the brokers has told the greatest it knows: whatever an earlier
// run gave out and this one has forgotten, one of them has met.
void Keeper::settle(std::vector<KeeperAction> &actions) {
    std::size_t all = 0, heard = 0;
    for (const Cell &cell : map_.cells)
        for (const Broker &broker : cell.brokers)
            ++all, heard += heard_.contains(broker.name);
    if (settled_ || heard * 2 <= all || map_.epoch.number < newest_)
        return;
    settled_ = true;
    actions.emplace_back(
        Note{fmt::format("settled: {} of {} brokers heard, epochs go on above {}", heard, all, counter_)});
    publish(actions);
}

void Keeper::handle(Micros now, const std::string &from, const Message &message,
                    std::vector<KeeperAction> &actions) {
    now_ = now;
    if (!map_.broker(from))
        return; // no broker of ours
    if (const auto *answer = std::get_if<Answer>(&message))
        on(now, from, *answer, actions);
    if (const auto *hello = std::get_if<Hello>(&message))
        on(now, from, *hello, actions);
    if (const auto *behind = std::get_if<Behind>(&message))
        on(from, *behind, actions);
}

void Keeper::on(Micros now, const std::string &from, const Hello &hello, std::vector<KeeperAction> &actions) {
    counter_ = std::max({counter_, hello.greatest, hello.map.number});
    newest_ = std::max(newest_, hello.map.number);
    Heard &heard = heard_[from];
    heard.at = now;
    heard.ready = hello.ready;
    heard.map = hello.map;
    heard.volumes.clear();
    for (const Hello::Volume &v : hello.volumes) {
        heard.volumes[v.volume] = v;
        Known &known = known_[v.volume];
        known.at = now;
        known.reserve = v.reserve;
        known.worth = v.worth;
        known.rate = 0;
        for (const auto &[broker, h] : heard_)
            if (const auto at = h.volumes.find(v.volume); at != h.volumes.end())
                known.rate += at->second.rate;
    }
    settle(actions);
    // A newer map than ours comes with the answer to our news.
    if (hello.map == map_.epoch)
        return;
    news_to(from, actions);
    heard.map = map_.epoch;
}

void Keeper::on(const std::string &, const Behind &behind, std::vector<KeeperAction> &actions) {
    counter_ = std::max({counter_, behind.greatest, behind.map.number});
    if (behind.map.number > map_.epoch.number) {
        take_over(behind.own);
        for (const auto &[volume, cell] : map_.pins)
            by_operator_.insert(volume); // by whom is not known: by hand
        actions.emplace_back(
            Note{fmt::format("a broker has a newer map: its epoch {} is taken over", behind.map.number)});
    } else if (behind.map.number < map_.epoch.number || behind.map == map_.epoch) {
        return; // it has our map by now, or news of it are on their way
    }
    settled_ ? publish(actions) : settle(actions);
}

std::vector<std::string> Keeper::expected(const Move &m) {
    switch (m.stage) {
    case Stage::Preparing:
    case Stage::Adopting:
        return m.targets;
    case Stage::Deciding:
        return {m.teller};
    case Stage::Opening:
        return m.targets;
    case Stage::Fencing:
    case Stage::Draining:
    case Stage::Forgetting:
        return m.sources;
    case Stage::Aborting: {
        auto all = m.sources; // the teller's word first; see order()
        all.insert(all.end(), m.targets.begin(), m.targets.end());
        return all;
    }
    }
    return {};
}

void Keeper::order(Micros now, VolumeId volume, Move &m, std::vector<KeeperAction> &actions) const {
    m.repeated = now;
    static constexpr Verb kVerbs[] = {Verb::Prepare, Verb::Fence, Verb::Fence,  Verb::Adopt,
                                      Verb::Open,    Verb::Open,  Verb::Forget, Verb::Abort};
    Order order{kVerbs[static_cast<int>(m.stage)], volume, m.epoch, m.from, m.to, m.teller, {}};
    if (m.stage == Stage::Adopting) {
        const double parts = static_cast<double>(m.targets.size());
        for (const auto &[source, left] : m.left) {
            order.left.limit += left.limit / parts;
            order.left.reserve += left.reserve / parts;
            order.left.keys.insert(order.left.keys.end(), left.keys.begin(), left.keys.end());
        }
    }
    for (const std::string &broker : expected(m)) {
        if (m.done.contains(broker))
            continue;
        // Until the teller has written down that this never opens, no source may take the volume back.
        if (m.stage == Stage::Aborting && m.open_sent && broker != m.teller && !m.done.contains(m.teller))
            continue;
        actions.emplace_back(Post{broker, order});
    }
}

void Keeper::to_stage(Micros now, VolumeId volume, Move &m, Stage stage, std::vector<KeeperAction> &actions) {
    m.stage = stage;
    m.since = now;
    m.done.clear();
    order(now, volume, m, actions);
}

std::optional<std::string> Keeper::start(Micros now, VolumeId volume, const std::string &to, bool by_operator,
                                         std::vector<KeeperAction> &actions) {
    const Cell *const target = map_.cell(to);
    const Cell *const source = map_.home(volume);
    if (!settled_)
        return "not yet: a majority of the brokers has not been heard since the start";
    if (!target)
        return fmt::format("there is no cell '{}'", to);
    if (!source)
        return "the volume has no cell";
    if (const auto at = moves_.find(volume); at != moves_.end())
        return at->second.to == to && at->second.stage != Stage::Aborting
                   ? fmt::format("it is on its way to '{}' already", to)
                   : fmt::format("a move to '{}' is {}", at->second.to,
                                 kStages[static_cast<int>(at->second.stage)]);
    if (source == target)
        return fmt::format("it is in '{}' already", to);
    if (target->frozen)
        return fmt::format("cell '{}' is frozen", to);
    if (source->frozen)
        return fmt::format("cell '{}' is frozen", source->name);
    const auto known = known_.find(volume);
    const double reserve = known == known_.end() ? 0 : known->second.reserve;
    if (!fits(*target, reserve, promised()))
        return fmt::format("its reserve of {:.0f} units a second does not fit into '{}'", reserve, to);
    Move m;
    m.epoch = {next(), origin_};
    m.from = source->name;
    m.to = to;
    m.by_operator = by_operator;
    for (const Broker *b : map_.brokers_of(volume, *source))
        m.sources.push_back(b->name);
    for (const Broker *b : map_.brokers_of(volume, *target))
        m.targets.push_back(b->name);
    m.teller = m.targets.front();
    ++figures_.begun;
    Move &kept = moves_[volume] = std::move(m);
    actions.emplace_back(Save{});
    actions.emplace_back(Note{fmt::format("volume {}: move {} from '{}' to '{}'", spell(volume),
                                          kept.epoch.number, kept.from, kept.to)});
    to_stage(now, volume, kept, Stage::Preparing, actions);
    return std::nullopt;
}

// The teller has opened: that is what the map says from now on.
void Keeper::commit(Micros now, VolumeId volume, Move &m, std::vector<KeeperAction> &actions) {
    const Cell *const hashed = map_.hashed(volume);
    if (hashed && hashed->name == m.to && !m.by_operator)
        map_.pins.erase(volume); // home by the hash: no pin is needed
    else
        map_.pins[volume] = m.to;
    if (m.by_operator)
        by_operator_.insert(volume);
    else
        by_operator_.erase(volume);
    const std::string teller = m.teller;
    m.stage = Stage::Opening;
    publish(actions);
    to_stage(now, volume, m, Stage::Opening, actions);
    m.done.insert(teller);
    advance(now, volume, m, actions);
}

void Keeper::go_back(Micros now, VolumeId volume, Move &m, std::string why,
                     std::vector<KeeperAction> &actions) {
    actions.emplace_back(
        Note{fmt::format("volume {}: move {} goes back: {}", spell(volume), m.epoch.number, why)});
    m.why = std::move(why);
    m.stage = Stage::Aborting;
    actions.emplace_back(Save{});
    to_stage(now, volume, m, Stage::Aborting, actions);
}

void Keeper::end(VolumeId volume, std::vector<KeeperAction> &actions) {
    const auto at = moves_.find(volume);
    const bool back = at->second.stage == Stage::Aborting;
    ++(back ? figures_.aborted : figures_.completed);
    if (back)
        rest_[volume] = now_ + kRest;
    actions.emplace_back(Note{fmt::format("volume {}: move {} {}", spell(volume), at->second.epoch.number,
                                          back ? "undone" : "complete")});
    moves_.erase(at);
    actions.emplace_back(Save{});
}

void Keeper::on(Micros now, const std::string &from, const Answer &a, std::vector<KeeperAction> &actions) {
    counter_ = std::max(counter_, a.move.number);
    const auto at = moves_.find(a.volume);
    if (!settled_ || at == moves_.end() || !(at->second.epoch == a.move))
        return;
    Move &m = at->second;
    const bool source = std::count(m.sources.begin(), m.sources.end(), from) > 0;
    const bool target = std::count(m.targets.begin(), m.targets.end(), from) > 0;
    const bool decided = m.stage == Stage::Opening || m.stage == Stage::Forgetting;
    if (a.word == Word::Opened && from == m.teller && !decided)
        return commit(now, a.volume, m, actions);
    bool counts = false;
    switch (m.stage) {
    case Stage::Preparing:
        if (target && (a.word == Word::Declined || a.word == Word::Void))
            return go_back(now, a.volume, m, fmt::format("{} declines: {}", from, a.why), actions);
        counts = target && a.word == Word::Ready;
        break;
    case Stage::Fencing:
    case Stage::Draining:
        if (source && a.word == Word::Void)
            return go_back(now, a.volume, m, from + " knows of a later move", actions);
        if (source && a.word == Word::Drained)
            m.left[from] = a.left;
        counts = source && (a.word == Word::Drained || (a.word == Word::Fenced && m.stage == Stage::Fencing));
        break;
    case Stage::Adopting:
    case Stage::Deciding:
        if (target && a.word == Word::Void)
            return go_back(now, a.volume, m, from + " has started anew", actions);
        counts = target && a.word == Word::Adopted && m.stage == Stage::Adopting;
        break;
    case Stage::Opening: // one that has started anew has the map
        counts = target && (a.word == Word::Opened || a.word == Word::Void);
        break;
    case Stage::Forgetting:
        counts = source && (a.word == Word::Forgotten || a.word == Word::Void);
        break;
    case Stage::Aborting:
        counts = a.word == Word::Aborted || a.word == Word::Void;
        break;
    }
    if (!counts || !m.done.insert(from).second)
        return;
    if (m.stage == Stage::Aborting && m.open_sent && from == m.teller)
        order(now, a.volume, m, actions);
    advance(now, a.volume, m, actions);
}

// Goes on as far as the answers that are there allow.
void Keeper::advance(Micros now, VolumeId volume, Move &m, std::vector<KeeperAction> &actions) {
    auto all = expected(m);
    if (m.stage == Stage::Aborting && !m.open_sent)
        all = m.sources; // the targets were never told to open
    if (!std::all_of(all.begin(), all.end(), [&](const std::string &b) { return m.done.contains(b); }))
        return;
    switch (m.stage) {
    case Stage::Preparing:
        return to_stage(now, volume, m, Stage::Fencing, actions);
    case Stage::Fencing:
        to_stage(now, volume, m, Stage::Draining, actions);
        for (const auto &[broker, left] : m.left)
            m.done.insert(broker);
        return advance(now, volume, m, actions);
    case Stage::Draining:
        return to_stage(now, volume, m, Stage::Adopting, actions);
    case Stage::Adopting:
        m.open_sent = true;
        m.stage = Stage::Deciding;
        actions.emplace_back(Save{});
        return to_stage(now, volume, m, Stage::Deciding, actions);
    case Stage::Deciding:
        return; // the teller's word is taken as it comes
    case Stage::Opening:
        return to_stage(now, volume, m, Stage::Forgetting, actions);
    case Stage::Forgetting:
    case Stage::Aborting:
        return end(volume, actions);
    }
}

void Keeper::tick(Micros now, std::vector<KeeperAction> &actions) {
    now_ = now;
    if (!settled_)
        return;
    for (auto &[volume, m] : moves_) {
        if (m.since == 0)
            m.since = now; // of an earlier run
        const Micros most = m.stage == Stage::Draining ? timing_.drain : timing_.step;
        const bool before = m.stage <= Stage::Deciding;
        if (before && now - m.since > most)
            go_back(now, volume, m,
                    fmt::format("no end of {} in {} ms", kStages[static_cast<int>(m.stage)], most / 1000),
                    actions);
        else if (now - m.repeated >= timing_.repeat_every)
            order(now, volume, m, actions);
    }
    std::erase_if(known_, [&](const auto &k) { return now - k.second.at > timing_.forget; });
    std::erase_if(rest_, [&](const auto &r) { return r.second <= now; });
    // By rule: a cell that had nodes, and none of them takes requests, as all its brokers that were heard
    // lately say.
    for (const auto &[name, figures] : cells(now)) {
        if (figures.ready > 0)
            been_ready_.insert(name);
        const bool drained = been_ready_.contains(name) && figures.brokers_heard > 0 && figures.ready == 0;
        if (!drained || !timing_.evacuate_drained || map_.cell(name)->evacuated || map_.cell(name)->frozen) {
            drained_since_.erase(name);
        } else if (now - drained_since_.try_emplace(name, now).first->second >= timing_.drained_for) {
            drained_since_[name] = now;
            if (evacuate(name, actions).ok)
                actions.emplace_back(Note{fmt::format("cell '{}' has no node that takes requests", name)});
        }
    }
    evacuations(now, actions);
    relieve(now, actions);
}

// Volumes that are known stay where they are until they are moved, whatever the hash says from now on.
void Keeper::pin_tenants(const std::string &cell) {
    for (const auto &[volume, known] : known_)
        if (const Cell *const at = map_.home(volume); at && at->name == cell)
            map_.pins.emplace(volume, cell);
}

std::vector<Tenant> Keeper::tenants(const std::string &cell) const {
    std::vector<Tenant> all;
    for (const auto &[volume, known] : known_)
        if (const Cell *const at = map_.home(volume); at && at->name == cell)
            all.push_back({volume, known.reserve, known.rate, known.worth});
    return all;
}

Promised Keeper::promised() const {
    Promised all;
    for (const auto &[volume, known] : known_) {
        const auto move = moves_.find(volume);
        const Cell *const at = map_.home(volume);
        if (move != moves_.end() && move->second.stage != Stage::Aborting)
            all[move->second.to] += known.reserve;
        else if (at)
            all[at->name] += known.reserve;
    }
    return all;
}

// Moves away what an evacuated cell still has, as far as there is room; and back home, from where an
// evacuation has put them, volumes whose cell takes them again.
void Keeper::evacuations(Micros now, std::vector<KeeperAction> &actions) {
    const auto free = [&] { return moves_.size() < timing_.at_once; };
    const auto movable = [&](VolumeId v) {
        return !moves_.contains(v) && !rest_.contains(v) && known_.contains(v);
    };
    for (const Cell &cell : map_.cells) {
        if (!cell.evacuated || !free())
            continue;
        std::vector<Tenant> all = tenants(cell.name);
        std::erase_if(all, [&](const Tenant &t) { return !movable(t.volume); });
        const Evacuation plan = cells::evacuate(map_, cell.name, std::move(all), promised());
        for (const auto &[volume, to] : plan.moves)
            if (free())
                start(now, volume, to, false, actions);
    }
    std::vector<std::pair<VolumeId, std::string>> home;
    for (const auto &[volume, cell] : map_.pins) {
        const Cell *const hashed = map_.hashed(volume);
        if (!by_operator_.contains(volume) && hashed && hashed->name != cell && movable(volume))
            home.emplace_back(volume, hashed->name);
    }
    for (const auto &[volume, to] : home)
        if (free())
            start(now, volume, to, false, actions);
}

// A cell that has promised more than it may: those of its volumes that it took last in the order of their
// preference go where there is room. They come home once their reserve fits again.
void Keeper::relieve(Micros now, std::vector<KeeperAction> &actions) {
    Promised given = promised();
    for (const Cell &cell : map_.cells) {
        double over = given[cell.name] - kReserved * cell.capacity;
        if (over <= 0 || cell.frozen || cell.evacuated)
            continue;
        std::vector<Tenant> all = tenants(cell.name);
        std::erase_if(all, [&](const Tenant &t) {
            return t.reserve <= 0 || moves_.contains(t.volume) || rest_.contains(t.volume) ||
                   by_operator_.contains(t.volume);
        });
        // The fewest that are enough: the smallest that alone suffices, else the largest.
        std::sort(all.begin(), all.end(), [](const Tenant &a, const Tenant &b) {
            return a.reserve != b.reserve ? a.reserve < b.reserve : a.volume < b.volume;
        });
        while (over > 0 && !all.empty() && moves_.size() < timing_.at_once) {
            auto pick =
                std::find_if(all.begin(), all.end(), [&](const Tenant &t) { return t.reserve >= over; });
            if (pick == all.end())
                --pick;
            const Tenant tenant = *pick;
            all.erase(pick);
            const auto to = place(map_, tenant.volume, tenant.reserve, given, {cell.name});
            if (!to || start(now, tenant.volume, *to, false, actions))
                continue;
            over -= tenant.reserve;
            given[*to] += tenant.reserve;
        }
    }
}

Keeper::Reply Keeper::move(Micros now, VolumeId volume, const std::string &to,
                           std::vector<KeeperAction> &actions) {
    now_ = now;
    const Cell *const at = map_.home(volume);
    if (at && at->name == to && !moves_.contains(volume))
        return pin(volume, actions); // it is there
    if (const auto no = start(now, volume, to, true, actions))
        return {false, *no};
    return {true, fmt::format("move {} has begun", moves_.at(volume).epoch.number)};
}

Keeper::Reply Keeper::pin(VolumeId volume, std::vector<KeeperAction> &actions) {
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    const Cell *const at = map_.home(volume);
    if (!at)
        return {false, "the volume has no cell"};
    if (moves_.contains(volume))
        return {false, "it is being moved"};
    if (map_.pins.contains(volume) && by_operator_.contains(volume))
        return {true, "it is pinned there already"};
    map_.pins[volume] = at->name;
    by_operator_.insert(volume);
    publish(actions);
    return {true, fmt::format("pinned in '{}'", at->name)};
}

Keeper::Reply Keeper::unpin(Micros now, VolumeId volume, std::vector<KeeperAction> &actions) {
    now_ = now;
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    if (!map_.pins.contains(volume))
        return {false, "it has no pin"};
    if (moves_.contains(volume))
        return {false, "it is being moved"};
    const Cell *const hashed = map_.hashed(volume);
    if (hashed && hashed->name == map_.pins.at(volume)) {
        map_.pins.erase(volume);
        by_operator_.erase(volume);
        publish(actions);
        return {true, "it lives there by the hash"};
    }
    if (!hashed)
        return {false, "no cell takes volumes"};
    if (const auto no = start(now, volume, hashed->name, false, actions))
        return {false, *no};
    return {true,
            fmt::format("move {} home to '{}' has begun", moves_.at(volume).epoch.number, hashed->name)};
}

Keeper::Reply Keeper::freeze(const std::string &name, bool on, std::vector<KeeperAction> &actions) {
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    for (Cell &cell : map_.cells)
        if (cell.name == name) {
            if (cell.frozen != on) {
                cell.frozen = on;
                publish(actions);
            }
            return {true, on ? "frozen" : "free"};
        }
    return {false, fmt::format("there is no cell '{}'", name)};
}

Keeper::Reply Keeper::evacuate(const std::string &name, std::vector<KeeperAction> &actions) {
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    std::size_t others = 0;
    for (const Cell &cell : map_.cells)
        others += cell.name != name && !cell.evacuated;
    for (Cell &cell : map_.cells)
        if (cell.name == name) {
            if (cell.frozen)
                return {false, fmt::format("cell '{}' is frozen", name)};
            if (others == 0)
                return {false, "no other cell takes volumes"};
            if (!cell.evacuated) {
                pin_tenants(name);
                cell.evacuated = true;
                publish(actions);
            }
            return {true, "its volumes are being moved away"};
        }
    return {false, fmt::format("there is no cell '{}'", name)};
}

Keeper::Reply Keeper::restore_cell(const std::string &name, std::vector<KeeperAction> &actions) {
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    for (Cell &cell : map_.cells)
        if (cell.name == name) {
            if (cell.evacuated) {
                for (const auto &[volume, known] : known_) // as in pin_tenants: each stays until it is moved
                    if (const Cell *const at = map_.home(volume))
                        map_.pins.emplace(volume, at->name);
                cell.evacuated = false;
                std::erase_if(map_.pins, [&](const auto &pin) { // needless ones
                    const Cell *const hashed = map_.hashed(pin.first);
                    return !by_operator_.contains(pin.first) && hashed && hashed->name == pin.second;
                });
                publish(actions);
            }
            return {true, "it takes volumes"};
        }
    return {false, fmt::format("there is no cell '{}'", name)};
}

Keeper::Reply Keeper::relayout(Map fresh, std::vector<KeeperAction> &actions) {
    if (!settled_)
        return {false, "not yet: a majority of the brokers has not been heard since the start"};
    if (!moves_.empty())
        return {false, "not while volumes are being moved"};
    fresh.epoch = {};
    fresh.pins.clear();
    check(fresh);
    // A broker that does not hear of its removal would go on serving: none is removed under a volume.
    const auto inhabited = [&](const Cell &cell) {
        const auto lives = [&](const auto &entry) {
            const Cell *const at = map_.home(entry.first);
            return at && at->name == cell.name;
        };
        return std::any_of(known_.begin(), known_.end(), lives) ||
               std::any_of(map_.pins.begin(), map_.pins.end(), lives);
    };
    for (const Cell &cell : map_.cells) {
        const Cell *const after = fresh.cell(cell.name);
        const bool same = after && after->brokers == cell.brokers && fresh.spread == map_.spread;
        if (!same && (!cell.evacuated || inhabited(cell)))
            return {false, fmt::format("cell '{}' {}, but is not evacuated", cell.name,
                                       after ? "would change its brokers" : "would go")};
    }
    for (const auto &[volume, known] : known_)
        if (const Cell *const at = map_.home(volume))
            map_.pins.emplace(volume, at->name);
    for (Cell &cell : fresh.cells)
        if (const Cell *const before = map_.cell(cell.name))
            cell.frozen = before->frozen, cell.evacuated = before->evacuated;
    map_.cells = std::move(fresh.cells);
    map_.spare = std::move(fresh.spare);
    map_.spread = fresh.spread;
    std::erase_if(map_.pins, [&](const auto &pin) { // needless ones
        const Cell *const hashed = map_.hashed(pin.first);
        return !by_operator_.contains(pin.first) && hashed && hashed->name == pin.second;
    });
    std::erase_if(heard_, [&](const auto &heard) { return !map_.broker(heard.first); });
    publish(actions);
    return {true, fmt::format("{} cells", map_.cells.size())};
}

std::string Keeper::where(VolumeId volume) const {
    const Cell *const at = map_.home(volume);
    if (!at)
        return "nowhere\n";
    std::string brokers;
    for (const Broker *b : map_.brokers_of(volume, *at))
        brokers += (brokers.empty() ? "" : " ") + b->name;
    std::string text =
        fmt::format("volume {}\ncell {}\nbrokers {}\nwhy {}\nepoch {}\n", spell(volume), at->name, brokers,
                    !map_.pins.contains(volume)     ? "by its hash"
                    : by_operator_.contains(volume) ? "pinned by an operator"
                                                    : "moved by a rule",
                    map_.epoch.number);
    if (const auto move = moves_.find(volume); move != moves_.end())
        text += fmt::format("move {} to {}, {}\n", move->second.epoch.number, move->second.to,
                            kStages[static_cast<int>(move->second.stage)]);
    return text;
}

std::map<std::string, Keeper::CellFigures> Keeper::cells(Micros now) const {
    constexpr Micros kLately = 5'000'000;
    std::map<std::string, CellFigures> all;
    for (const Cell &cell : map_.cells) {
        CellFigures &f = all[cell.name];
        for (const Broker &b : cell.brokers)
            if (const auto at = heard_.find(b.name); at != heard_.end() && now - at->second.at < kLately) {
                ++f.brokers_heard;
                f.ready = std::max(f.ready, at->second.ready);
            }
    }
    for (const auto &[volume, known] : known_)
        if (const Cell *const at = map_.home(volume)) {
            CellFigures &f = all[at->name];
            ++f.volumes;
            f.promised += known.reserve;
            f.rate += known.rate;
        }
    return all;
}

} // namespace marblewood::cells
