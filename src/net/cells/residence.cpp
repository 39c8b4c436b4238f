#include "net/cells/residence.hpp"

#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <filesystem>
#include <xxhash.h>

namespace marblewood::net::cells {

namespace mc = marblewood::cells;

namespace {

constexpr Micros kTick = 100'000;
constexpr Micros kAnswerSlack = 10'000;   // us that a forwarded answer needs on its way back
constexpr double kHeld = 0.3;             // part of its time that a request may wait for a move
constexpr Micros kComeBack = 100'000;     // us: told to clients that are refused here
constexpr Micros kCallWithin = 1'500'000; // us for the keeper's reply
constexpr Micros kAskAgain = 1'000'000;   // us between questions for a newer map
constexpr Micros kIdle = 2'000'000;       // us after which brokers close idle connections
constexpr const char *kHops = "hop";

template <typename T> std::optional<T> number_of(std::string_view text) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

Settings among_brokers(Settings settings) {
    settings.idle_close = kIdle;
    return settings;
}

mc::Resident::Timing timing(const Settings &settings) {
    mc::Resident::Timing t;
    for (const ClassSettings &cls : settings.classes)
        if (cls.idempotency == Idempotency::WithKey) {
            t.keep_keys = std::max(t.keep_keys, cls.deduplication_window);
            t.vouch_after = std::max(t.vouch_after, cls.deduplication_window + cls.deadline);
        }
    return t;
}

} // namespace

Residence::Residence(asio::io_context &io, core::Deadlines &deadlines, core::MemoryBudget &memory,
                     SocketBudget &budget, const Settings &settings, Layout layout, std::string name,
                     tcp::acceptor listener, std::uint64_t seed, Usual usual)
    : io_(io), deadlines_(deadlines), memory_(memory), settings_(settings), layout_(std::move(layout)),
      usual_(std::move(usual)), resident_(name, *this, timing(settings), deadlines.clock.now()),
      link_(io, deadlines, name, std::move(listener), seed,
            [this](const link::Frame &frame) { heard(frame); }),
      file_(io, layout_.state.empty() ? "" : layout_.state + "/" + name + ".cells"), outbox_(link_, file_),
      relay_(io.get_executor(), deadlines, memory, budget, among_brokers(settings),
             resp::NodePort::Peers::Brokers) {
    file_.failed = [](const std::string &why) { core::log("cells: the state can't be written: {}", why); };
    if (const auto bytes = file_.load())
        resident_.restore(link::decode_resident(*bytes));
    link_.place("", *endpoint<tcp::endpoint>(layout_.keeper_link));
}

void Residence::start() {
    take_map();
    tick();
}

bool Residence::allows(const std::string &node) const {
    const mc::Cell *const mine = resident_.cell();
    return mine && mine->nodes.contains(node);
}

void Residence::ready_nodes(std::size_t count) {
    resident_.ready_nodes(static_cast<std::uint32_t>(count));
}

void Residence::tick() {
    std::vector<mc::Action> actions;
    resident_.tick(deadlines_.clock.now(), actions);
    perform(actions);
    tick_ = deadlines_.in(kTick, [this] { tick(); });
}

void Residence::heard(const link::Frame &frame) {
    if (const auto *reply = std::get_if<link::Reply>(&frame.body)) {
        if (auto call = calls_.extract(reply->number))
            call.mapped()(*reply);
    } else if (const auto *message = std::get_if<mc::Message>(&frame.body)) {
        std::vector<mc::Action> actions;
        resident_.handle(deadlines_.clock.now(), frame.from, *message, actions);
        perform(actions);
    }
}

void Residence::perform(std::vector<mc::Action> &actions) {
    for (mc::Action &action : actions) {
        if (auto *post = std::get_if<mc::Post>(&action)) {
            outbox_.post(std::move(post->to), std::move(post->message));
        } else if (std::holds_alternative<mc::Save>(action)) {
            outbox_.save(layout_.state.empty() ? std::string() : link::encode(resident_.state()));
        } else if (std::holds_alternative<mc::MapTaken>(action)) {
            take_map();
        } else {
            const auto held = held_.extract(std::get<mc::Resolve>(action).volume);
            if (held)
                for (const Id id : held.mapped()) {
                    const auto at = entries_.find(id);
                    if (at == entries_.end() || !at->second.waits)
                        continue;
                    at->second.waits = false;
                    at->second.patience.reset();
                    --waiting_;
                    route(id);
                }
        }
    }
}

void Residence::take_map() {
    if (!resident_.map())
        return;
    const mc::Map &map = *resident_.map();
    core::log("cells: map {}, {}", map.epoch.number,
              resident_.cell() ? "in cell " + resident_.cell()->name : std::string("in no cell"));
    for (const mc::Cell &cell : map.cells)
        for (const mc::Broker &broker : cell.brokers) {
            if (broker.name == resident_.name())
                continue;
            const auto link = endpoint<tcp::endpoint>(broker.link),
                       clients = endpoint<tcp::endpoint>(broker.clients);
            if (link)
                link_.place(broker.name, *link);
            if (clients)
                relay_.place(number(broker.name), *clients);
        }
    if (confined)
        confined();
}

NodeId Residence::number(const std::string &broker) {
    return numbers_.try_emplace(broker, NodeId{static_cast<std::uint32_t>(numbers_.size() + 1)})
        .first->second;
}

mc::Left Residence::take(VolumeId volume) {
    core::Request any;
    any.arrival.volume = volume;
    core::RequestDispatcher &dispatcher = usual_(any);
    mc::Left left;
    for (const HandoverState::VolumeQuota &s : dispatcher.handover_state(volume).quotas)
        left.limit += s.units, left.reserve += s.reserve.value_or(0);
    dispatcher.restore(HandoverState{INT64_MAX, {{volume, 0, 0}}, {}});
    return left;
}
void Residence::give(VolumeId volume, double limit, double reserve) {
    core::Request any;
    any.arrival.volume = volume;
    usual_(any).restore(HandoverState{INT64_MAX, {{volume, limit, reserve}}, {}});
}

mc::Asked Residence::asked(const core::Request &r) const {
    const RequestArrived &f = r.arrival;
    const ClassSettings &cls = settings_.classes[f.cls];
    const PlanSettings &plan = settings_.plans[f.plan];
    mc::Asked a{f.volume,
                {},
                f.units,
                plan.reserve,
                cls.priority_weight * plan.priority_factor,
                plan.limit > 0,
                r.received_at + r.timeout,
                0};
    if (cls.idempotency == Idempotency::WithKey && !r.idempotency_key.empty()) {
        const std::string both = r.data_key + ' ' + r.idempotency_key;
        a.key = XXH3_64bits(both.data(), both.size());
    }
    for (const auto &[name, value] : r.forwarded_fields)
        if (name == kHops)
            a.hops = std::clamp(number_of<int>(value).value_or(0), 0, mc::Resident::kMostHops);
    return a;
}

RequestId Residence::submit(std::shared_ptr<const core::Request> request, CompletionCallback answer,
                            std::function<void()>) {
    const Id id = ++last_;
    Entry entry;
    entry.asked = asked(*request);
    entry.request = std::move(request);
    entry.answer = std::move(answer);
    entries_.emplace(id, std::move(entry));
    route(id);
    return RequestId{id};
}

void Residence::route(Id id) {
    Entry &entry = entries_.at(id);
    const mc::Route way = resident_.route(deadlines_.clock.now(), entry.asked);
    switch (way.kind) {
    case mc::Route::Kind::Serve:
        return serve(id, way);
    case mc::Route::Kind::Wait:
        return hold(id);
    case mc::Route::Kind::Refuse:
        return refuse(id);
    case mc::Route::Kind::Forward: {
        const mc::Cell *const to = resident_.map()->cell_of_broker(way.broker);
        if (!layout_.forward || !to || memory_.is_exhausted() || out_[to->name] >= layout_.most_forwarded)
            return refuse(id);
        ++counts_.forwarded;
        entry.held = std::make_unique<core::MemoryBudget::Reservation>(memory_, entry.request->body.size());
        asio::co_spawn(io_, forward(id, way.broker, to->name, entry.request, entry.asked),
                       [](const std::exception_ptr &error) {
                           if (error)
                               std::rethrow_exception(error);
                       });
    }
    }
}

void Residence::serve(Id id, const mc::Route &way) {
    Entry &entry = entries_.at(id);
    auto own =
        std::make_shared<core::Request>(*entry.request); // as the map says, and without what brokers added
    own->arrival.hosts = way.hosts;
    std::erase_if(own->forwarded_fields, [](const auto &pair) { return pair.first == kHops; });
    entry.request = own;
    entry.held = nullptr; // the dispatcher counts it
    entry.dispatcher = &usual_(*own);
    resident_.began(deadlines_.clock.now(), entry.asked);
    const mc::Asked about = entry.asked;
    const auto served = std::make_shared<bool>(false);
    const RequestId there = entry.dispatcher->submit(
        own,
        [this, id, served](core::Outcome outcome) {
            *served = outcome.kind == core::Outcome::Kind::Served;
            if (!outcome.stream)
                return finish(id, std::move(outcome));
            // Kept until it is over: its client may leave before that.
            if (const auto at = entries_.find(id); at != entries_.end())
                at->second.answer(std::move(outcome));
        },
        [this, id, about, served] {
            entries_.erase(id);
            std::vector<mc::Action> actions;
            resident_.ended(deadlines_.clock.now(), about, *served, actions);
            perform(actions);
        });
    if (const auto at = entries_.find(id); at != entries_.end())
        at->second.there = there;
}

void Residence::hold(Id id) {
    Entry &entry = entries_.at(id);
    const Micros now = deadlines_.clock.now();
    const Micros until =
        entry.request->received_at + static_cast<Micros>(kHeld * static_cast<double>(entry.request->timeout));
    if (now >= until || memory_.is_exhausted() || waiting_ >= static_cast<std::size_t>(layout_.most_waiting))
        return refuse(id);
    entry.held = std::make_unique<core::MemoryBudget::Reservation>(memory_, entry.request->body.size());
    ++counts_.waited;
    ++waiting_;
    entry.waits = true;
    held_[entry.asked.volume].push_back(id);
    entry.patience = deadlines_.at(until, [this, id] {
        const auto at = entries_.find(id);
        if (at == entries_.end() || !at->second.waits)
            return;
        at->second.waits = false;
        --waiting_;
        refuse(id);
    });
}

void Residence::refuse(Id id) {
    ++counts_.refused;
    const Micros back = settings_.retry_after ? std::min(kComeBack, settings_.max_retry_after) : 0;
    finish(id, {core::Outcome::Kind::Refused, {}, back, true});
}

void Residence::finish(Id id, core::Outcome outcome) {
    auto entry = entries_.extract(id);
    if (!entry)
        return outcome.stream ? outcome.stream->abandon() : void();
    entry.mapped().answer(std::move(outcome));
}

// At another broker, as a client of it. Nothing is repeated that may have run: what is to be repeated, and
// where, is for the broker that serves it.
asio::awaitable<void> Residence::forward(Id id, std::string broker, std::string cell,
                                         std::shared_ptr<const core::Request> asked, mc::Asked about) {
    ++out_[cell];
    core::AttemptResult result;
    const auto request = std::make_shared<core::Request>(*asked);
    std::erase_if(request->forwarded_fields, [](const auto &pair) { return pair.first == kHops; });
    request->forwarded_fields.emplace_back(kHops, std::to_string(about.hops + 1));
    for (int tries = 0; tries < 2; ++tries) {
        const auto attempt = std::make_shared<core::Attempt>();
        attempt->request = request;
        attempt->node = number(broker);
        attempt->started_at = deadlines_.clock.now();
        attempt->expires_at = request->received_at + request->timeout;
        attempt->may_write = [this, id, until = attempt->expires_at] {
            return entries_.contains(id) && deadlines_.clock.now() < until;
        };
        attempt->on_written = [] {};
        const auto at = entries_.find(id);
        if (at == entries_.end())
            break;
        at->second.attempt = attempt;
        const auto expiry = deadlines_.at(attempt->expires_at - kAnswerSlack,
                                          [&out = *attempt] { out.stop(Status::Timeout); });
        result = co_await relay_.run(attempt);
        if (result.status != Status::ConnectFailed)
            break;
        // Nothing was written: another of its brokers may be reached.
        const mc::Route other = resident_.route(deadlines_.clock.now(), about);
        if (other.kind != mc::Route::Kind::Forward)
            break;
        broker = other.broker;
    }
    --out_[cell];
    const bool safe = settings_.classes[request->arrival.cls].idempotency == Idempotency::Idempotent;
    switch (result.status) {
    case Status::Ok:
        finish(id, {core::Outcome::Kind::Served, std::move(result.value), 0, true});
        break;
    case Status::Rejected: {
        // It may know of a newer map.
        const Micros now = deadlines_.clock.now();
        if (auto &last = told_[broker]; now - last > kAskAgain) {
            last = now;
            link_.send(broker, mc::Message(mc::Hello{resident_.map()->epoch, 0, {}, 0, 0}));
        }
        const Micros back = result.retry_after > 0 ? result.retry_after : kComeBack;
        finish(id, {core::Outcome::Kind::Refused, {}, settings_.retry_after ? back : 0, true});
        break;
    }
    case Status::ConnectFailed:
    case Status::Superseded:
        refuse(id);
        break;
    default:
        finish(id, {core::Outcome::Kind::Failed, {}, 0, safe});
    }
}

void Residence::client_disconnected(RequestId number) {
    const auto at = entries_.find(static_cast<Id>(number));
    if (at == entries_.end())
        return;
    auto entry = entries_.extract(at);
    Entry &e = entry.mapped();
    if (e.waits)
        --waiting_;
    if (e.dispatcher)
        e.dispatcher->client_disconnected(e.there);
    if (e.attempt)
        e.attempt->stop(Status::Cancelled);
}

void Residence::answer_now(RequestId number) {
    const auto at = entries_.find(static_cast<Id>(number));
    if (at == entries_.end())
        return;
    Entry &entry = at->second;
    if (entry.dispatcher)
        return entry.dispatcher->answer_now(entry.there);
    if (entry.attempt)
        return entry.attempt->stop(Status::Cancelled);
    if (std::exchange(entry.waits, false))
        --waiting_;
    refuse(at->first);
}

asio::awaitable<std::optional<link::Reply>> Residence::ask_keeper(std::string what, std::string body) {
    const std::uint64_t number = ++last_call_;
    const auto box = std::make_shared<core::Mailbox<std::optional<link::Reply>>>(io_.get_executor());
    calls_[number] = [box](link::Reply reply) { box->put(std::move(reply)); };
    const auto limit = deadlines_.in(kCallWithin, [this, box, number] {
        if (calls_.erase(number))
            box->put(std::nullopt);
    });
    link_.send("", link::Call{number, std::move(what), std::move(body)});
    co_return co_await box->take();
}

std::string Residence::spell() const {
    const auto held = resident_.held();
    const mc::Cell *const mine = resident_.cell();
    return fmt::format(
        "broker {}\ncell {}\nepoch {}\nvolumes {}\nfenced {}\nkeys {}\nwaiting {}\nforwarded {}\n"
        "waited {}\nrefused {}\n",
        resident_.name(), mine ? mine->name : "-", resident_.map() ? resident_.map()->epoch.number : 0,
        held.volumes, held.fenced, held.keys + held.afar, waiting_, counts_.forwarded, counts_.waited,
        counts_.refused);
}

std::string Residence::stats() const {
    const auto held = resident_.held();
    return fmt::format(
        "balancer.cells.forwarded:{}|c\nbalancer.cells.waited:{}|c\nbalancer.cells.refused:{}|c\n"
        "balancer.cells.waiting:{}|g\nbalancer.cells.volumes:{}|g\nbalancer.cells.fenced:{}|g\n"
        "balancer.cells.keys:{}|g\nbalancer.cells.epoch:{}|g\n",
        counts_.forwarded, counts_.waited, counts_.refused, waiting_, held.volumes, held.fenced,
        held.keys + held.afar, resident_.map() ? resident_.map()->epoch.number : 0);
}

} // namespace marblewood::net::cells
