#include "net/resp/node_port.hpp"

#include "config/decode.hpp"
#include "core/log.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr Micros kDial = 250'000;  // us for a connection to come up, where the settings do not say
constexpr Micros kGap = 100'000;   // us of silence in an answer that has begun, after which it does not go on
constexpr Micros kRest = 5'000;    // the same behind a whole value
constexpr Micros kSettle = 10'000; // us from a connection's last answer until it is used again
constexpr Micros kStreamGap =
    5'000'000; // the same within a long value: its node or the way to it may be slow

// Calls `use` with each name and number of "used=37,cost=4"; what is not of that form is passed over.
template <typename F> void figures(std::string_view text, F use) {
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos)
            continue;
        double number = 0;
        const auto [end, error] =
            std::from_chars(item.data() + equals + 1, item.data() + item.size(), number);
        if (error == std::errc() && end == item.data() + item.size())
            use(item.substr(0, equals), number);
    }
}

void read_figures(std::string_view text, core::AttemptResult &result) {
    figures(text, [&](std::string_view name, double number) {
        if (name == "used" && number >= 0 && number < 1e9)
            result.used = 1 + static_cast<int>(number); // the module's figure counts from 1
        else if (name == "cost" && number >= 0 && number < 1e9)
            result.remote_units = number;
        else {
            LoadReport load = result.report.value_or(LoadReport{});
            if (config::set_figure(load, name, number))
                result.report = load;
        }
    });
}

struct Answer {
    std::optional<Value> value;
    bool spoilt = false; // the connection is of no further use
};

// Reads one answer. A value stands once it is whole, whatever follows it: the rest of its array can't take
// back what has run, and is not waited for long. Nor is an answer that has begun and does not go on. A long
// value goes into the attempt's stream as it comes, no faster than that is emptied.
asio::awaitable<Answer> receive(Wire &wire, core::Deadlines &deadlines, core::MemoryBudget &memory,
                                core::Attempt &attempt) {
    Answer answer;
    Reader reader(kMostAnswer);
    core::MemoryBudget::Reservation held(memory);
    core::Deadlines::Entry limit;
    while (!answer.value && !answer.spoilt) {
        if (!reader.between() || !wire.in.empty())
            limit = wire.expect_more(deadlines, reader.first() ? kRest : attempt.stream ? kStreamGap : kGap);
        answer.spoilt = bool(
            co_await read_more(wire.socket, wire.in, attempt.stream ? core::Stream::kBufferBytes : kChunk));
        std::string_view bytes = wire.in;
        try {
            answer.value = reader.take(bytes);
        } catch (const Malformed &error) { // no guess is made at what such an answer meant
            core::log("node: {}", error.what());
            answer.spoilt = true;
        }
        wire.in.erase(0, wire.in.size() - bytes.size());
        if (const auto length = reader.long_first(); length && !attempt.stream && attempt.begin_stream)
            attempt.begin_stream(*length);
        if (attempt.stream) {
            limit.reset();
            std::string part = answer.value ? std::move(answer.value->elements.front().text) : reader.part();
            if (!part.empty())
                answer.spoilt |= !co_await attempt.stream->put(std::move(part));
            if (answer.value || reader.first())
                attempt.stream->finish(true);
        }
        held.resize(wire.in.size() + (attempt.stream ? 0 : reader.kept()));
    }
    if (!answer.value)
        if (const std::string *first = reader.first()) {
            answer.value = Value{Value::Kind::Array, false, {}, {}};
            answer.value->elements.push_back({Value::Kind::Bulk, false, *first, {}});
        }
    if (attempt.stream)
        attempt.stream->finish(false); // unless it is whole
    answer.spoilt |= !wire.in.empty(); // what stands behind an answer belongs to nobody
    co_return answer;
}

// What a node's answer means; false: nothing that a node says, and its connection can't be trusted further.
bool read_answer(Value &&answer, core::AttemptResult &result, bool of_broker) {
    const auto text = [](const Value &v) { return v.kind == Value::Kind::Bulk && !v.null; };
    const auto says = [&](std::string_view word) {
        return answer.text == word || answer.text.starts_with(std::string(word) + ' ');
    };
    if (answer.kind == Value::Kind::Array && !answer.elements.empty() && text(answer.elements.front())) {
        result.status = Status::Ok;
        result.value = std::move(answer.elements.front().text);
        for (std::size_t n = 1; n < answer.elements.size(); ++n)
            if (text(answer.elements[n]))
                read_figures(answer.elements[n].text, result);
        return true;
    }
    if (of_broker && text(answer)) {
        result.status = Status::Ok;
        result.value = std::move(answer.text);
        return true;
    }
    result.status = Status::Error;
    if (answer.kind != Value::Kind::Error)
        return false;
    if (says("BUSY")) {
        result.status = Status::Rejected;
        if (of_broker && answer.text.size() > 5)
            result.retry_after = 1000 * std::clamp(std::atoll(answer.text.c_str() + 5), 0LL, 60'000LL);
        return true;
    }
    std::string_view words = answer.text;
    while (!words.empty()) {
        const std::string_view one = words.substr(0, words.find(' '));
        words.remove_prefix(std::min(words.size(), one.size() + 1));
        read_figures(one, result);
    }
    return says("ERR");
}

} // namespace

NodePort::NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
                   SocketBudget &budget, const Settings &settings, Peers peers)
    : executor_(executor), deadlines_(deadlines), memory_(memory), settings_(settings), peers_(peers),
      pool_(std::move(executor), deadlines, budget, settings.idle_close) {}

void NodePort::place(NodeId node, const tcp::endpoint &address) {
    const auto [it, fresh] = addresses_.try_emplace(node, address);
    if (fresh || it->second == address)
        return;
    pool_.close_idle(it->second); // it has moved
    it->second = address;
}

void NodePort::forget(NodeId node) {
    close_idle(node);
    addresses_.erase(node);
}
// Where the node has moved or gone meanwhile, nobody would come for the connection.
void NodePort::give_back(NodeId node, const tcp::endpoint &to, std::shared_ptr<Wire> wire) {
    if (!wire->socket.is_open())
        return;
    const auto at = addresses_.find(node);
    std::string().swap(wire->in); // its room, too
    if (at != addresses_.end() && at->second == to)
        pool_.give_back(to, std::move(wire));
}

void NodePort::close_idle(NodeId node) {
    if (const auto at = addresses_.find(node); at != addresses_.end())
        pool_.close_idle(at->second);
}

// Answers bear no number: one that comes twice, the second time some milliseconds late, would be taken for
// the answer to the next request. So a connection is used again only once nothing more has come for a while.
asio::awaitable<bool> NodePort::settled(Wire &wire) {
    const Micros until = wire.returned + kSettle;
    if (deadlines_.clock.now() >= until)
        co_return true;
    boost::system::error_code error;
    const auto limit = deadlines_.at(until, [&wire] {
        boost::system::error_code ignored;
        wire.socket.cancel(ignored);
    });
    co_await wire.socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    co_return error == asio::error::operation_aborted &&wire.socket.is_open() && wire.fresh();
}

asio::awaitable<std::shared_ptr<Wire>> NodePort::connect(tcp::endpoint to, core::Attempt &attempt) {
    std::shared_ptr<Wire> wire;
    while ((wire = pool_.reuse(to)) != nullptr) {
        attempt.on_stop = [wire = wire.get()] { wire->close(); };
        const bool quiet = co_await settled(*wire);
        attempt.on_stop = nullptr;
        if (quiet || attempt.stop_reason)
            co_return wire;
        wire->close();
    }
    wire = pool_.open();
    if (!wire)
        co_return nullptr;
    attempt.on_stop = [wire = wire.get()] { wire->close(); };
    const Micros wait = settings_.connect_timeout > 0 ? settings_.connect_timeout : kDial;
    const auto error = co_await dial(wire->socket, to, deadlines_.clock.now() + wait, deadlines_);
    attempt.on_stop = nullptr;
    co_return error ? nullptr : wire;
}

asio::awaitable<core::AttemptResult> NodePort::run(std::shared_ptr<core::Attempt> attempt) {
    core::AttemptResult result;
    const auto at = addresses_.find(attempt->node);
    const tcp::endpoint to = at == addresses_.end() ? tcp::endpoint() : at->second;
    std::shared_ptr<Wire> wire; // no co_await inside a ?: anywhere: g++ 12 frees its temporaries twice
    if (at != addresses_.end())
        wire = co_await connect(to, *attempt);
    if (!wire || attempt->stop_reason) {
        if (wire)
            give_back(attempt->node, to, wire);
        result.status = attempt->status_when_interrupted(false);
        co_return result;
    }
    if (!attempt->may_write()) {
        give_back(attempt->node, to, wire);
        result.status = Status::Superseded;
        co_return result;
    }

    // From here on the connection is this attempt's; to give up is to close it.
    attempt->on_stop = [wire = wire.get()] { wire->close(); };
    const std::string command = spell(*attempt);
    boost::system::error_code error;
    const std::size_t written = co_await write_all(wire->socket, command, error);
    const bool whole = written == command.size();
    if (whole)
        attempt->on_written();
    Answer answer;
    if (whole)
        answer = co_await receive(*wire, deadlines_, memory_, *attempt);
    attempt->on_stop = nullptr;
    if (!answer.value) {
        wire->close();
        result.status = attempt->status_when_interrupted(whole);
        co_return result;
    }
    const bool good =
        read_answer(std::move(*answer.value), result, peers_ == Peers::Brokers) && !answer.spoilt;
    if (good && wire->socket.is_open())
        give_back(attempt->node, to, wire);
    co_return result;
}

// The client's command again, but for `d`, which tells how long this broker will wait.
std::string NodePort::spell(const core::Attempt &attempt) const {
    const core::Request &r = *attempt.request;
    const RequestArrived &f = r.arrival;
    const Micros left = std::max<Micros>(attempt.expires_at - deadlines_.clock.now(), 1000);
    std::string list = fmt::format("c={},t={},d={}", settings_.classes[f.cls].name,
                                   settings_.plans[f.plan].name, left / 1000);
    if (!r.idempotency_key.empty())
        list += ",k=" + r.idempotency_key;
    if (f.retry)
        list += ",r=1";
    list += fmt::format(",volume={:016x},units={},shard={},hosts={}", static_cast<std::uint64_t>(f.volume),
                        f.units, f.shard ? static_cast<std::int64_t>(*f.shard) : -1, f.hosts);
    for (const auto &[name, value] : r.forwarded_fields)
        list += "," + name + "=" + value;
    if (f.write)
        return command({"OBJ.PUT", r.data_key, r.id, list, r.body});
    return command({"OBJ.GET", r.data_key, r.id, list});
}

asio::awaitable<core::ProbeResult> NodePort::probe(NodeId node) {
    core::ProbeResult result;
    const auto at = addresses_.find(node);
    if (at == addresses_.end())
        co_return result;
    const tcp::endpoint to = at->second;
    core::Attempt frame; // only for its way to be stopped
    const Micros wait = settings_.connect_timeout > 0 ? settings_.connect_timeout : kDial;
    const auto limit = deadlines_.in(wait, [&frame] { frame.stop(Status::Timeout); });
    const auto wire = co_await connect(to, frame);
    result.status = Status::ConnectFailed;
    if (!wire)
        co_return result;
    frame.on_stop = [wire = wire.get()] { wire->close(); };
    const std::string ask = command({"INFO", "load"});
    boost::system::error_code error;
    co_await write_all(wire->socket, ask, error);
    Answer answer;
    if (!error)
        answer = co_await receive(*wire, deadlines_, memory_, frame);
    frame.on_stop = nullptr;
    if (!answer.value) {
        wire->close();
        result.status = frame.status_when_interrupted(!error);
        co_return result;
    }
    const bool good = answer.value->kind == Value::Kind::Bulk && !answer.value->null;
    core::AttemptResult told;
    if (good)
        read_figures(answer.value->text, told);
    result.report = told.report;
    result.status = good ? Status::Ok : Status::Error;
    if (good && !answer.spoilt && wire->socket.is_open())
        give_back(node, to, wire);
    co_return result;
}

} // namespace marblewood::net::resp
