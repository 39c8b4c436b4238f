#include "net/link/codec.hpp"

#include "cells.pb.h"

#include <cmath>
#include <xxhash.h>

namespace marblewood::net::link {
namespace {

using namespace marblewood::cells;

std::uint64_t number(VolumeId v) {
    return static_cast<std::uint64_t>(v);
}
template <typename E> E choice(std::uint32_t value, E last, const char *what) {
    if (value > static_cast<std::uint32_t>(last))
        throw Unreadable(std::string("unknown ") + what);
    return static_cast<E>(value);
}
double units(double value) {
    if (!std::isfinite(value) || value < 0)
        throw Unreadable("units that are none");
    return value;
}

void put(wire::Epoch *out, const Epoch &e) {
    out->set_number(e.number), out->set_origin(e.origin);
}
Epoch get(const wire::Epoch &in) {
    return {in.number(), in.origin()};
}

void put(wire::Left *out, const Left &left) {
    out->set_limit(left.limit);
    out->set_reserve(left.reserve);
    for (const Left::Key &key : left.keys) {
        auto *one = out->add_keys();
        one->set_hash(key.hash), one->set_until(key.until), one->set_source(key.source);
    }
}
Left get(const wire::Left &in) {
    Left left{units(in.limit()), units(in.reserve()), {}};
    for (const auto &key : in.keys())
        left.keys.push_back({key.hash(), key.until(), key.source()});
    return left;
}

void put(wire::Map *out, const Map &map) {
    put(out->mutable_epoch(), map.epoch);
    out->set_spread(static_cast<std::uint32_t>(map.spread));
    for (const Cell &cell : map.cells) {
        auto *one = out->add_cells();
        one->set_name(cell.name), one->set_capacity(cell.capacity);
        one->set_frozen(cell.frozen), one->set_evacuated(cell.evacuated);
        for (const Broker &broker : cell.brokers) {
            auto *b = one->add_brokers();
            b->set_name(broker.name), b->set_clients(broker.clients), b->set_link(broker.link);
        }
        for (const std::string &node : cell.nodes)
            one->add_nodes(node);
    }
    for (const std::string &node : map.spare)
        out->add_spare(node);
    std::map<std::string, wire::Pins *> by_cell; // a cell's name once, 8 bytes a volume
    for (const auto &[volume, cell] : map.pins) {
        wire::Pins *&pins = by_cell[cell];
        if (!pins)
            pins = out->add_pins(), pins->set_cell(cell);
        pins->add_volumes(number(volume));
    }
}
Map get(const wire::Map &in) {
    Map map;
    map.epoch = get(in.epoch());
    map.spread = static_cast<int>(std::min<std::uint32_t>(in.spread(), 1000));
    for (const auto &one : in.cells()) {
        Cell cell{one.name(), one.capacity(), {}, {}, one.frozen(), one.evacuated()};
        for (const auto &b : one.brokers())
            cell.brokers.push_back({b.name(), b.clients(), b.link()});
        cell.nodes.insert(one.nodes().begin(), one.nodes().end());
        map.cells.push_back(std::move(cell));
    }
    map.spare.insert(in.spare().begin(), in.spare().end());
    for (const auto &pins : in.pins())
        for (const auto volume : pins.volumes())
            map.pins[VolumeId{volume}] = pins.cell();
    try {
        check(map);
    } catch (const std::invalid_argument &error) {
        throw Unreadable(error.what());
    }
    return map;
}

void put(wire::Frame &f, const Order &o) {
    auto *out = f.mutable_order();
    out->set_verb(static_cast<std::uint32_t>(o.verb)), out->set_volume(number(o.volume));
    put(out->mutable_move(), o.move);
    out->set_from(o.from), out->set_to(o.to), out->set_teller(o.teller);
    put(out->mutable_left(), o.left);
}
void put(wire::Frame &f, const Answer &a) {
    auto *out = f.mutable_answer();
    out->set_word(static_cast<std::uint32_t>(a.word)), out->set_volume(number(a.volume));
    put(out->mutable_move(), a.move);
    put(out->mutable_left(), a.left);
    out->set_why(a.why);
}
void put(wire::Frame &f, const Hello &h) {
    auto *out = f.mutable_hello();
    put(out->mutable_map(), h.map);
    out->set_greatest(h.greatest);
    for (const Hello::Volume &v : h.volumes) {
        auto *one = out->add_volumes();
        one->set_volume(number(v.volume)), one->set_reserve(static_cast<float>(v.reserve));
        one->set_rate(static_cast<float>(v.rate)), one->set_worth(static_cast<float>(v.worth));
    }
    out->set_others(h.others), out->set_ready(h.ready);
}
template <typename Out> void put_moving(Out *out, const std::vector<News::Moving> &moving) {
    for (const News::Moving &m : moving) {
        auto *one = out->add_moving();
        one->set_volume(number(m.volume));
        put(one->mutable_move(), m.move);
        one->set_from(m.from), one->set_to(m.to), one->set_teller(m.teller);
    }
}
template <typename In> std::vector<News::Moving> get_moving(const In &in) {
    std::vector<News::Moving> moving;
    for (const auto &m : in.moving())
        moving.push_back({VolumeId{m.volume()}, get(m.move()), m.from(), m.to(), m.teller()});
    return moving;
}
void put(wire::Frame &f, const News &n) {
    put(f.mutable_news()->mutable_map(), n.map);
    put_moving(f.mutable_news(), n.moving);
}
void put(wire::Frame &f, const Change &c) {
    auto *out = f.mutable_change();
    put(out->mutable_base(), c.base), put(out->mutable_epoch(), c.epoch);
    std::map<std::string, std::vector<VolumeId>> by_cell;
    for (const auto &[volume, cell] : c.pins)
        by_cell[cell].push_back(volume);
    for (const auto &[cell, volumes] : by_cell) {
        auto *pins = out->add_pins();
        pins->set_cell(cell);
        for (const VolumeId volume : volumes)
            pins->add_volumes(number(volume));
    }
    put_moving(out, c.moving);
}
void put(wire::Frame &f, const Behind &b) {
    auto *out = f.mutable_behind();
    put(out->mutable_map(), b.map);
    out->set_greatest(b.greatest);
    put(out->mutable_own(), b.own);
}
void put(wire::Frame &f, const Ask &a) {
    auto *out = f.mutable_ask();
    out->set_volume(number(a.volume));
    put(out->mutable_move(), a.move);
    out->set_from(a.from), out->set_to(a.to);
}
void put(wire::Frame &f, const Told &t) {
    auto *out = f.mutable_told();
    out->set_volume(number(t.volume));
    put(out->mutable_move(), t.move);
    out->set_opened(t.opened);
}
void put(wire::Frame &f, const Message &m) {
    std::visit([&](const auto &one) { put(f, one); }, m);
}
void put(wire::Frame &f, const Call &c) {
    f.mutable_call()->set_number(c.number), f.mutable_call()->set_what(c.what),
        f.mutable_call()->set_body(c.body);
}
void put(wire::Frame &f, const Reply &r) {
    f.mutable_reply()->set_number(r.number), f.mutable_reply()->set_ok(r.ok),
        f.mutable_reply()->set_text(r.text);
}

Body body(const wire::Frame &f) {
    using wire::Frame;
    switch (f.body_case()) {
    case Frame::kOrder: {
        const auto &o = f.order();
        return Message(Order{choice(o.verb(), Verb::Abort, "order"), VolumeId{o.volume()}, get(o.move()),
                             o.from(), o.to(), o.teller(), get(o.left())});
    }
    case Frame::kAnswer: {
        const auto &a = f.answer();
        return Message(Answer{choice(a.word(), Word::Void, "answer"), VolumeId{a.volume()}, get(a.move()),
                              get(a.left()), a.why()});
    }
    case Frame::kHello: {
        Hello h{get(f.hello().map()), f.hello().greatest(), {}, f.hello().others(), f.hello().ready()};
        for (const auto &v : f.hello().volumes())
            h.volumes.push_back(
                {VolumeId{v.volume()}, units(v.reserve()), units(v.rate()), units(v.worth())});
        return Message(std::move(h));
    }
    case Frame::kNews: {
        return Message(News{get(f.news().map()), get_moving(f.news())});
    }
    case Frame::kChange: {
        Change c{get(f.change().base()), get(f.change().epoch()), {}, get_moving(f.change())};
        for (const auto &pins : f.change().pins())
            for (const auto volume : pins.volumes())
                c.pins.emplace_back(VolumeId{volume}, pins.cell());
        return Message(std::move(c));
    }
    case Frame::kBehind:
        return Message(Behind{get(f.behind().map()), f.behind().greatest(), get(f.behind().own())});
    case Frame::kAsk:
        return Message(Ask{VolumeId{f.ask().volume()}, get(f.ask().move()), f.ask().from(), f.ask().to()});
    case Frame::kTold:
        return Message(Told{VolumeId{f.told().volume()}, get(f.told().move()), f.told().opened()});
    case Frame::kCall:
        return Call{f.call().number(), f.call().what(), f.call().body()};
    case Frame::kReply:
        return Reply{f.reply().number(), f.reply().ok(), f.reply().text()};
    case Frame::BODY_NOT_SET:
        break;
    }
    throw Unreadable("a message of no known kind");
}

template <typename Wire> std::string seal(const Wire &state) {
    wire::Sealed sealed;
    sealed.set_version(kVersion);
    sealed.set_state(state.SerializeAsString());
    sealed.set_hash(XXH3_64bits(sealed.state().data(), sealed.state().size()));
    return sealed.SerializeAsString();
}
template <typename Wire> Wire unseal(std::string_view bytes) {
    wire::Sealed sealed;
    if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw Unreadable("no state file");
    if (sealed.version() != kVersion)
        throw Unreadable("a state file of another version");
    if (sealed.hash() != XXH3_64bits(sealed.state().data(), sealed.state().size()))
        throw Unreadable("a state file that is not whole");
    Wire state;
    if (!state.ParseFromString(sealed.state()))
        throw Unreadable("a state file that makes no sense");
    return state;
}

} // namespace

std::string encode(const Frame &frame) {
    wire::Frame f;
    f.set_version(kVersion);
    f.set_from(frame.from);
    std::visit([&](const auto &one) { put(f, one); }, frame.body);
    return f.SerializeAsString();
}
Frame decode(std::string_view bytes) {
    wire::Frame f;
    if (!f.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw Unreadable("a malformed frame");
    if (f.version() != kVersion)
        throw Unreadable("a frame of another version");
    return {f.from(), body(f)};
}

std::string encode(const Resident::State &state) {
    wire::ResidentState out;
    if (state.map)
        put(out.mutable_map(), *state.map);
    out.set_greatest(state.greatest);
    for (const auto &[volume, r] : state.records) {
        auto *one = out.add_records();
        one->set_volume(number(volume));
        put(one->mutable_move(), r.move);
        one->set_stage(static_cast<std::uint32_t>(r.stage));
        one->set_from(r.from), one->set_to(r.to), one->set_teller(r.teller);
        put(one->mutable_left(), r.left);
        one->set_since(r.since);
        one->set_home(r.home), one->set_home_number(r.home_number);
    }
    for (const auto move : state.moving)
        out.add_moving(move);
    return seal(out);
}
Resident::State decode_resident(std::string_view bytes) {
    const auto in = unseal<wire::ResidentState>(bytes);
    Resident::State state;
    if (in.has_map())
        state.map = get(in.map());
    state.greatest = in.greatest();
    for (const auto &r : in.records())
        state.records[VolumeId{r.volume()}] = {
            get(r.move()),  choice(r.stage(), Resident::Stage::Over, "stage"),
            r.from(),       r.to(),
            r.teller(),     get(r.left()),
            r.since(),      r.home(),
            r.home_number()};
    state.moving.insert(in.moving().begin(), in.moving().end());
    return state;
}

std::string encode(const Keeper::State &state) {
    wire::KeeperState out;
    put(out.mutable_map(), state.map);
    out.set_counter(state.counter);
    for (const VolumeId v : state.by_operator)
        out.add_by_operator(number(v));
    for (const auto &[volume, m] : state.moves) {
        auto *one = out.add_moves();
        one->set_volume(number(volume));
        put(one->mutable_epoch(), m.epoch);
        one->set_from(m.from), one->set_to(m.to), one->set_teller(m.teller);
        one->set_by_operator(m.by_operator), one->set_stage(static_cast<std::uint32_t>(m.stage));
        for (const auto &b : m.sources)
            one->add_sources(b);
        for (const auto &b : m.targets)
            one->add_targets(b);
        one->set_open_sent(m.open_sent), one->set_why(m.why);
        for (const auto &[broker, left] : m.left) {
            auto *given = one->add_left();
            given->set_broker(broker);
            put(given->mutable_left(), left);
        }
    }
    return seal(out);
}
Keeper::State decode_keeper(std::string_view bytes) {
    const auto in = unseal<wire::KeeperState>(bytes);
    Keeper::State state;
    state.map = get(in.map());
    state.counter = in.counter();
    for (const auto v : in.by_operator())
        state.by_operator.insert(VolumeId{v});
    for (const auto &one : in.moves()) {
        Keeper::Move m;
        m.epoch = get(one.epoch());
        m.from = one.from(), m.to = one.to(), m.teller = one.teller();
        m.by_operator = one.by_operator();
        m.stage = choice(one.stage(), Keeper::Stage::Aborting, "stage");
        m.sources.assign(one.sources().begin(), one.sources().end());
        m.targets.assign(one.targets().begin(), one.targets().end());
        m.open_sent = one.open_sent(), m.why = one.why();
        for (const auto &given : one.left())
            m.left[given.broker()] = get(given.left());
        state.moves[VolumeId{one.volume()}] = std::move(m);
    }
    return state;
}

} // namespace marblewood::net::link
