#include "net/resp/node_port.hpp"

#include "config/decode.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr Micros kDial = 250'000; // us for a connection to come up, where the settings do not say

// Calls `use` with each name and number of "used=37,cost=4"; what is not of that form is passed over.
template <typename F> void figures(std::string_view text, F use) {
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) continue;
        double number = 0;
        const auto [end, error] =
            std::from_chars(item.data() + equals + 1, item.data() + item.size(), number);
        if (error == std::errc() && end == item.data() + item.size()) use(item.substr(0, equals), number);
    }
}

void read_figures(std::string_view text, core::AttemptResult &result) {
    figures(text, [&](std::string_view name, double number) {
        if (name == "used" && number >= 0 && number < 1e9)
            result.used = 1 + static_cast<int>(number); // the module's figure counts from 1
        else if (name == "cost" && number >= 0 && number < 1e9)
            result.elsewhere = number;
        else {
            LoadReport load = result.report.value_or(LoadReport{});
            if (config::set_figure(load, name, number)) result.report = load;
        }
    });
}

asio::awaitable<std::optional<Value>> receive(Wire &wire) {
    for (;;) {
        std::string_view bytes = wire.in;
        if (auto value = take(bytes)) {
            wire.in.erase(0, wire.in.size() - bytes.size());
            co_return value;
        }
        char chunk[16384];
        boost::system::error_code error;
        const std::size_t got = co_await wire.socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return std::nullopt;
        wire.in.append(chunk, got);
    }
}

} // namespace

NodePort::NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget,
                   const Settings &settings)
    : executor_(executor), deadlines_(deadlines), settings_(settings),
      pool_(std::move(executor), deadlines, budget, settings.idle_close) {}

void NodePort::place(NodeId node, const tcp::endpoint &address) {
    const auto [it, fresh] = addresses_.try_emplace(node, address);
    if (fresh || it->second == address) return;
    pool_.close_idle(it->second); // it has moved
    it->second = address;
}

void NodePort::close_idle(NodeId node) {
    if (const auto at = addresses_.find(node); at != addresses_.end()) pool_.close_idle(at->second);
}

asio::awaitable<std::shared_ptr<Wire>> NodePort::connect(tcp::endpoint to, core::Attempt &attempt) {
    auto wire = pool_.reuse(to);
    if (wire) co_return wire;
    wire = pool_.open();
    if (!wire) co_return nullptr;
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
    if (at != addresses_.end()) wire = co_await connect(to, *attempt);
    if (!wire || attempt->stopped) {
        if (wire) pool_.give_back(to, wire);
        result.status = attempt->broken(false);
        co_return result;
    }
    if (!attempt->may_write()) {
        pool_.give_back(to, wire);
        result.status = Status::Moot;
        co_return result;
    }

    // From here on the connection is this attempt's; to give up is to close it.
    attempt->on_stop = [wire = wire.get()] { wire->close(); };
    const std::string command = spell(*attempt);
    boost::system::error_code error;
    const std::size_t written = co_await asio::async_write(wire->socket, asio::buffer(command),
                                                           asio::redirect_error(asio::use_awaitable, error));
    const bool whole = written == command.size();
    std::optional<Value> answer;
    if (whole) try {
            answer = co_await receive(*wire);
        } catch (const Malformed &) { // no guess is made at what such an answer meant
        }
    attempt->on_stop = nullptr;
    if (!answer || !wire->socket.is_open()) {
        wire->close();
        result.status = attempt->broken(whole);
        co_return result;
    }
    result = read_answer(std::move(*answer));
    if (wire->in.empty()) pool_.give_back(to, wire);
    co_return result;
}

core::AttemptResult read_answer(Value &&answer) {
    core::AttemptResult result;
    const auto text = [](const Value &v) { return v.kind == Value::Kind::Bulk && !v.null; };
    if (answer.kind == Value::Kind::Array && !answer.elements.empty() && text(answer.elements.front())) {
        result.status = Status::Ok;
        result.value = std::move(answer.elements.front().text);
        for (std::size_t n = 1; n < answer.elements.size(); ++n)
            if (text(answer.elements[n])) read_figures(answer.elements[n].text, result);
    } else if (answer.kind == Value::Kind::Error && answer.text.starts_with("BUSY")) {
        result.status = Status::Full;
    } else {
        result.status = Status::Error;
        std::string_view words = answer.text;
        while (!words.empty()) {
            const std::string_view one = words.substr(0, words.find(' '));
            words.remove_prefix(std::min(words.size(), one.size() + 1));
            read_figures(one, result);
        }
    }
    return result;
}

// The client's command again, but for `d`, which tells how long this broker will wait.
std::string NodePort::spell(const core::Attempt &attempt) const {
    const core::Request &r = *attempt.request;
    const RequestArrived &f = r.facts;
    const Micros left = std::max<Micros>(attempt.expires - deadlines_.clock.now(), 1000);
    std::string list = fmt::format("c={},t={},d={}", settings_.classes[f.cls].name,
                                   settings_.plans[f.plan].name, left / 1000);
    if (!r.repeat_key.empty()) list += ",k=" + r.repeat_key;
    if (f.retry) list += ",r=1";
    list += fmt::format(",volume={:016x},units={},shard={},hosts={}", static_cast<std::uint64_t>(f.volume),
                        f.units, f.shard ? static_cast<std::int64_t>(*f.shard) : -1, f.hosts);
    for (const auto &[name, value] : r.extra) list += "," + name + "=" + value;
    if (f.write) return command({"OBJ.PUT", r.piece, r.id, list, r.body});
    return command({"OBJ.GET", r.piece, r.id, list});
}

asio::awaitable<core::ProbeResult> NodePort::probe(NodeId node) {
    core::ProbeResult result;
    const auto at = addresses_.find(node);
    if (at == addresses_.end()) co_return result;
    const tcp::endpoint to = at->second;
    core::Attempt frame; // only for its way to be stopped
    const Micros wait = settings_.connect_timeout > 0 ? settings_.connect_timeout : kDial;
    const auto limit = deadlines_.in(wait, [&frame] { frame.stop(Status::Timeout); });
    const auto wire = co_await connect(to, frame);
    result.status = Status::ConnectFailed;
    if (!wire) co_return result;
    frame.on_stop = [wire = wire.get()] { wire->close(); };
    const std::string ask = command({"INFO", "load"});
    boost::system::error_code error;
    co_await asio::async_write(wire->socket, asio::buffer(ask),
                               asio::redirect_error(asio::use_awaitable, error));
    std::optional<Value> answer;
    if (!error) try {
            answer = co_await receive(*wire);
        } catch (const Malformed &) {
        }
    if (!answer || !wire->socket.is_open()) {
        wire->close();
        result.status = frame.broken(!error);
        co_return result;
    }
    if (answer->kind == Value::Kind::Bulk && !answer->null) {
        core::AttemptResult told;
        read_figures(answer->text, told);
        result.report = told.report;
        result.status = Status::Ok;
    } else {
        result.status = Status::Error;
    }
    pool_.give_back(to, wire);
    co_return result;
}

} // namespace marblewood::net::resp
