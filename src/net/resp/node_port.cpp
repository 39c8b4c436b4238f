#include "net/resp/node_port.hpp"

#include "config/decode.hpp"
#include "core/log.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr Micros kDefaultConnectTimeout = 250'000;

// How long a node may send nothing within a response before the connection is closed.
constexpr Micros kSilenceTimeout = 100'000;
// The same once the response's value is complete: longer than nodes stand still, as the value is served only
// if the rest comes.
constexpr Micros kSilenceTimeoutAfterValue = 300'000;
// The time from a connection's last response until it is used again.
constexpr Micros kReuseDelay = 10'000;
// The value, the figures on its use and the load report.
constexpr std::size_t kNodeResponseElements = 3;
// As kSilenceTimeout, within a long value, whose node or network path may be slow.
constexpr Micros kStreamSilenceTimeout = 5'000'000;

// Calls `visit` with each name and number of a text like "used=37,cost=4". Skips items of another form.
template <typename F> void for_each_figure(std::string_view text, F visit) {
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
            visit(item.substr(0, equals), number);
    }
}

void read_figures(std::string_view text, core::AttemptResult &result) {
    for_each_figure(text, [&](std::string_view name, double number) {
        if (name == "used" && number >= 0 && number < 1e9)
            result.used = 1 + static_cast<int>(number); // 0 means that the node did not report it
        else if (name == "cost" && number >= 0 && number < 1e9)
            result.remote_units = number;
        else {
            LoadReport load = result.report.value_or(LoadReport{});
            if (config::set_figure(load, name, number))
                result.report = load;
        }
    });
}

struct Response {
    std::optional<Value> value;
    bool unusable = false; // the connection must not be used again
};

// Whether what could be parsed of a response confirms the announced length of its value, although the rest is
// malformed. A wrong length hides the start of an element that follows the value, or moves it. So the length
// is right if the next element starts where it has to, whatever is wrong with that element.
bool confirms_value(const Reader &reader, const Malformed &error) {
    return reader.first_element() && !dynamic_cast<const Misplaced *>(&error);
}

// Whether the length of a well-formed response's value can be trusted. A node's value has two elements behind
// it, and may have excess bytes behind these. A broker sends the value alone, and nothing behind it.
bool is_trusted(const Value &response, bool excess, NodePort::Peers peers) {
    if (peers == NodePort::Peers::Brokers)
        return !excess;
    return response.kind != Value::Kind::Array || response.elements.size() == kNodeResponseElements;
}

// The response with its value alone, as its other elements cannot be read.
Value without_figures(const Reader &reader) {
    Value response{Value::Kind::Array, false, {}, {}};
    response.elements.push_back({Value::Kind::Bulk, false, *reader.first_element(), {}});
    response.elements.resize(kNodeResponseElements, {Value::Kind::Bulk, true, {}, {}});
    return response;
}

Micros silence_timeout(const Reader &reader, const core::Attempt &attempt) {
    if (attempt.stream)
        return kStreamSilenceTimeout;
    return reader.first_element() ? kSilenceTimeoutAfterValue : kSilenceTimeout;
}

// The length of a response's value, if that is long and is being received. Only brokers send a value alone.
std::optional<std::size_t> long_value_length(const Reader &reader, NodePort::Peers peers) {
    if (peers == NodePort::Peers::Nodes && !reader.is_in_array())
        return std::nullopt;
    return reader.long_first_length();
}

// Removes and returns the value of a whole response, or what has arrived of it since the last call.
std::string take_part(std::optional<Value> &response, Reader &reader) {
    if (!response)
        return reader.take_first_part();
    const bool in_array = response->kind == Value::Kind::Array;
    return std::move(in_array ? response->elements.front().text : response->text);
}

// Reads one response. The end of its value is known only from what follows it: if the announced length is
// wrong, the value's "end" is a line end elsewhere. So a value counts only once the rest of the response is
// parsed, or at least confirms the length. A response that stops half-way is given up after a timeout. A long
// value is put into the attempt's stream as it arrives, no faster than the stream is read; the stream is
// completed only if the value counts.
asio::awaitable<Response> receive(NodeConnection &connection, core::Deadlines &deadlines,
                                  core::MemoryBudget &memory, NodePort::Peers peers, core::Attempt &attempt) {
    Response response;
    Reader reader(kMaxNodeBulkBytes);
    core::MemoryBudget::Reservation reserved(memory);
    core::Deadlines::Entry timer;
    while (!response.value && !response.unusable) {
        if (!reader.is_between_messages() || !connection.received.empty())
            timer = connection.close_if_silent(deadlines, silence_timeout(reader, attempt));
        response.unusable =
            bool(co_await read_more(connection.socket, connection.received,
                                    attempt.stream ? attempt.stream->buffer_bytes() : kReadChunkBytes));
        std::string_view bytes = connection.received;
        try {
            response.value = reader.take(bytes);
        } catch (const Malformed &error) {
            core::log("malformed response from a node: {}", error.what());
            response.unusable = true;
            if (confirms_value(reader, error))
                response.value = without_figures(reader);
        }
        connection.received.erase(0, connection.received.size() - bytes.size());
        if (connection.received.empty())
            std::string().swap(connection.received); // frees the capacity, too
        if (const auto length = long_value_length(reader, peers);
            length && !attempt.stream && attempt.begin_stream)
            attempt.begin_stream(*length);
        if (attempt.stream) {
            timer.reset();
            std::string part = take_part(response.value, reader);
            if (!part.empty())
                response.unusable |= !co_await attempt.stream->put(std::move(part));
        }
        reserved.resize(connection.received.size() + (attempt.stream ? 0 : reader.incomplete_bytes()));
    }
    const bool excess = !connection.received.empty(); // bytes after the response belong to no request
    response.unusable |= excess;
    if (response.value && !is_trusted(*response.value, excess, peers))
        response.value.reset();
    if (attempt.stream)
        attempt.stream->finish(response.value.has_value());
    co_return response;
}

// Converts a node's response. False if it is not a response that a node may send; its connection must then
// not be used again.
bool read_response(Value &&response, core::AttemptResult &result, bool from_broker) {
    const auto text = [](const Value &v) { return v.kind == Value::Kind::Bulk && !v.null; };
    const auto has_code = [&](std::string_view word) {
        return response.text == word || response.text.starts_with(std::string(word) + ' ');
    };
    if (response.kind == Value::Kind::Array && !response.elements.empty() &&
        text(response.elements.front())) {
        result.status = Status::Ok;
        result.value = std::move(response.elements.front().text);
        for (std::size_t n = 1; n < response.elements.size(); ++n)
            if (text(response.elements[n]))
                read_figures(response.elements[n].text, result);
        return true;
    }
    if (from_broker && text(response)) {
        result.status = Status::Ok;
        result.value = std::move(response.text);
        return true;
    }
    result.status = Status::Error;
    if (response.kind != Value::Kind::Error)
        return false;
    if (has_code("BUSY")) {
        result.status = Status::Rejected;
        if (from_broker && response.text.size() > 5)
            result.retry_after = 1000 * std::clamp(std::atoll(response.text.c_str() + 5), 0LL, 60'000LL);
        return true;
    }
    std::string_view words = response.text;
    while (!words.empty()) {
        const std::string_view item = words.substr(0, words.find(' '));
        words.remove_prefix(std::min(words.size(), item.size() + 1));
        read_figures(item, result);
    }
    return has_code("ERR");
}

} // namespace

NodePort::NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
                   SocketBudget &budget, const Settings &settings, Peers peers)
    : executor_(executor), deadlines_(deadlines), memory_(memory), settings_(settings), peers_(peers),
      pool_(std::move(executor), deadlines, budget, settings.idle_close) {}

void NodePort::place(NodeId node, const tcp::endpoint &address) {
    const auto [it, added] = addresses_.try_emplace(node, address);
    if (added || it->second == address)
        return;
    pool_.close_idle(it->second); // the node has another address now
    it->second = address;
}

void NodePort::forget(NodeId node) {
    close_idle(node);
    addresses_.erase(node);
}

// Drops the connection if the node was removed or has another address now, because nothing would use it
// again.
void NodePort::give_back(NodeId node, const tcp::endpoint &to, std::shared_ptr<NodeConnection> connection) {
    if (!connection->socket.is_open())
        return;
    const auto entry = addresses_.find(node);
    std::string().swap(connection->received); // frees the capacity, too
    if (entry != addresses_.end() && entry->second == to)
        pool_.give_back(to, std::move(connection));
}

void NodePort::close_idle(NodeId node) {
    if (const auto entry = addresses_.find(node); entry != addresses_.end())
        pool_.close_idle(entry->second);
}

// Waits until kReuseDelay after the connection's last response. False if the connection must not be used
// again. RESP2 responses carry no request number: if a node sent a response twice, the second time some
// milliseconds late, it would be taken for the response to the next request. So a connection is reused only
// after some time of silence.
asio::awaitable<bool> NodePort::wait_until_reusable(NodeConnection &connection) {
    const Micros until = connection.returned_at + kReuseDelay;
    if (deadlines_.clock.now() >= until)
        co_return true;
    boost::system::error_code error;
    const auto timer = deadlines_.at(until, [&connection] {
        boost::system::error_code ignored;
        connection.socket.cancel(ignored);
    });
    co_await connection.socket.async_wait(tcp::socket::wait_read,
                                          asio::redirect_error(asio::use_awaitable, error));
    co_return error == asio::error::operation_aborted &&connection.socket.is_open() &&
        connection.is_reusable();
}

asio::awaitable<std::shared_ptr<NodeConnection>> NodePort::connect(tcp::endpoint to, core::Attempt &attempt) {
    std::shared_ptr<NodeConnection> connection;
    while ((connection = pool_.reuse(to)) != nullptr) {
        attempt.on_stop = [connection = connection.get()] { connection->close(); };
        const bool reusable = co_await wait_until_reusable(*connection);
        attempt.on_stop = nullptr;
        if (reusable || attempt.stop_reason)
            co_return connection;
        connection->close();
    }
    connection = pool_.open();
    if (!connection)
        co_return nullptr;
    attempt.on_stop = [connection = connection.get()] { connection->close(); };
    const Micros timeout = settings_.connect_timeout > 0 ? settings_.connect_timeout : kDefaultConnectTimeout;
    const auto error = co_await dial(connection->socket, to, deadlines_.clock.now() + timeout, deadlines_);
    attempt.on_stop = nullptr;
    co_return error ? nullptr : connection;
}

// Writes the attempt's command. Its copy of the request is freed before the response is awaited.
asio::awaitable<bool> NodePort::write_command(NodeConnection &connection, const core::Attempt &attempt) {
    const std::string command = encode_command(attempt);
    const core::MemoryBudget::Reservation reservation(memory_, command.size());
    boost::system::error_code error;
    const std::size_t written = co_await write_all(connection.socket, command, error);
    co_return written == command.size();
}

asio::awaitable<core::AttemptResult> NodePort::run(std::shared_ptr<core::Attempt> attempt) {
    core::AttemptResult result;
    const auto entry = addresses_.find(attempt->node);
    const tcp::endpoint to = entry == addresses_.end() ? tcp::endpoint() : entry->second;
    // No co_await inside a conditional operator: g++ 12 destroys its temporaries twice.
    std::shared_ptr<NodeConnection> connection;
    if (entry != addresses_.end())
        connection = co_await connect(to, *attempt);
    if (!connection || attempt->stop_reason) {
        if (connection)
            give_back(attempt->node, to, connection);
        result.status = attempt->status_when_interrupted(false);
        co_return result;
    }
    if (!attempt->may_write()) {
        give_back(attempt->node, to, connection);
        result.status = Status::Superseded;
        co_return result;
    }

    // From here on the connection carries this attempt's request, so that stopping the attempt has to close
    // it.
    attempt->on_stop = [connection = connection.get()] { connection->close(); };
    const bool fully_written = co_await write_command(*connection, *attempt);
    if (fully_written)
        attempt->on_written();
    Response response;
    if (fully_written)
        response = co_await receive(*connection, deadlines_, memory_, peers_, *attempt);
    attempt->on_stop = nullptr;
    if (!response.value) {
        connection->close();
        result.status = attempt->status_when_interrupted(fully_written);
        co_return result;
    }
    const bool valid =
        read_response(std::move(*response.value), result, peers_ == Peers::Brokers) && !response.unusable;
    if (valid && connection->socket.is_open())
        give_back(attempt->node, to, connection);
    co_return result;
}

// Encodes the client's command again, but with the time that this broker will wait as `d`.
std::string NodePort::encode_command(const core::Attempt &attempt) const {
    const core::Request &request = *attempt.request;
    const RequestArrived &arrival = request.arrival;
    const Micros left = std::max<Micros>(attempt.expires_at - deadlines_.clock.now(), 1000);
    std::string list = fmt::format("c={},t={},d={}", settings_.classes[arrival.cls].name,
                                   settings_.plans[arrival.plan].name, left / 1000);
    if (!request.idempotency_key.empty())
        list += ",k=" + request.idempotency_key;
    if (arrival.retry)
        list += ",r=1";
    list += fmt::format(",volume={:016x},units={},shard={},hosts={}",
                        static_cast<std::uint64_t>(arrival.volume), arrival.units,
                        arrival.shard ? static_cast<std::int64_t>(*arrival.shard) : -1, arrival.hosts);
    list += request.forwarded_fields.text();
    if (arrival.write)
        return command({"OBJ.PUT", request.data_key, request.id, list, request.body});
    return command({"OBJ.GET", request.data_key, request.id, list});
}

asio::awaitable<core::ProbeResult> NodePort::probe(NodeId node) {
    core::ProbeResult result;
    const auto entry = addresses_.find(node);
    if (entry == addresses_.end())
        co_return result;
    const tcp::endpoint to = entry->second;
    core::Attempt probe_attempt; // serves only to stop the probe at its timeout
    const Micros timeout = settings_.connect_timeout > 0 ? settings_.connect_timeout : kDefaultConnectTimeout;
    const auto timer = deadlines_.in(timeout, [&probe_attempt] { probe_attempt.stop(Status::Timeout); });
    const auto connection = co_await connect(to, probe_attempt);
    result.status = Status::ConnectFailed;
    if (!connection)
        co_return result;
    probe_attempt.on_stop = [connection = connection.get()] { connection->close(); };
    const std::string request = command({"INFO", "load"});
    boost::system::error_code error;
    co_await write_all(connection->socket, request, error);
    Response response;
    if (!error)
        response = co_await receive(*connection, deadlines_, memory_, peers_, probe_attempt);
    probe_attempt.on_stop = nullptr;
    if (!response.value) {
        connection->close();
        result.status = probe_attempt.status_when_interrupted(!error);
        co_return result;
    }
    const bool valid = response.value->kind == Value::Kind::Bulk && !response.value->null;
    core::AttemptResult figures;
    if (valid)
        read_figures(response.value->text, figures);
    result.report = figures.report;
    result.status = valid ? Status::Ok : Status::Error;
    if (valid && !response.unusable && connection->socket.is_open())
        give_back(node, to, connection);
    co_return result;
}

} // namespace marblewood::net::resp
