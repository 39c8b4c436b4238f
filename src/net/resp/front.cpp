#include "net/resp/front.hpp"

#include "core/log.hpp"
#include "net/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/container/deque.hpp>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr int kMaxInvalidCommands = 32;    // in a row, after which the connection ends
constexpr Micros kIdleTimeout = 2'000'000; // short, as clients reconnect when they need to

template <typename T> T parse_number(std::string_view text, const char *name, int base = 10) {
    T value{};
    const char *const last = text.data() + text.size();
    const auto [end, error] = [&] {
        if constexpr (std::is_floating_point_v<T>)
            return std::from_chars(text.data(), last, value);
        else
            return std::from_chars(text.data(), last, value, base);
    }();
    if (text.empty() || error != std::errc() || end != last)
        throw Malformed(fmt::format("invalid {}", name));
    return value;
}
std::uint64_t parse_hex16(std::string_view text, const char *name) {
    if (text.size() != 16)
        throw Malformed(fmt::format("invalid {}", name));
    return parse_number<std::uint64_t>(text, name, 16);
}
template <typename Rows> int index_of(const Rows &rows, std::string_view name, const char *what) {
    for (std::size_t n = 0; n < rows.size(); ++n)
        if (rows[n].name == name)
            return static_cast<int>(n);
    throw Malformed(fmt::format("unknown {}", what));
}

std::string encode_reply(const core::Outcome &outcome) {
    std::string out;
    if (outcome.stream)
        out = fmt::format("${}\r\n", outcome.stream->length);
    else if (outcome.kind == core::Outcome::Kind::Served)
        put_bulk(out, outcome.value);
    else if (outcome.kind == core::Outcome::Kind::Failed)
        out = "-ERR failed\r\n";
    else if (outcome.retry_after > 0)
        out = fmt::format("-BUSY {}\r\n", (outcome.retry_after + 999) / 1000);
    else
        out = "-BUSY\r\n";
    return out;
}

std::string to_upper(std::string text) {
    for (char &c : text)
        if (c >= 'a' && c <= 'z')
            c = static_cast<char>(c - 'a' + 'A');
    return text;
}

/// A RESP2 session. Answer callbacks may outlive the connection, so they hold a weak reference to it.
class RespSession : public Session {
public:
    RespSession(Client &client, core::FrontEndServices services, InputTurns &turns, RequestIds &ids)
        : Session(client, services.deadlines, services.memory, turns), services_(std::move(services)),
          ids_(ids) {}

private:
    // One command, in the order of the answers.
    struct Slot {
        std::string bytes;
        bool ready = false;
        core::RequestHandler *request_handler = nullptr;
        RequestId id{};
        std::string name;                     // the request id chosen by the client
        std::shared_ptr<core::Stream> stream; // source of the rest of a streamed answer
    };

    void parse_received() override {
        std::string_view bytes = input_;
        try {
            while (!reading_finished_ && !is_output_full()) {
                auto value = reader_.take(bytes);
                if (!value)
                    break;
                handle_command(std::move(*value), arrival_before(bytes.size()));
                message_started_at_ = last_read_at_; // the bytes after it arrived no later
            }
            input_.erase(0, input_.size() - bytes.size());
        } catch (const Malformed &error) { // the start of the next command is unknown
            reading_finished_ = true;
            client_.note_close_reason(CloseReason::ProtocolError);
            reject_input(error.what());
        }
    }
    bool has_partial_message() const override { return !input_.empty() || !reader_.is_between_messages(); }
    std::size_t buffered_bytes() const override {
        return partial_message_bytes() + ready_bytes_ + slots_.size() * sizeof(Slot);
    }
    std::size_t partial_message_bytes() const override { return input_.size() + reader_.incomplete_bytes(); }
    Micros idle_timeout() const override { return kIdleTimeout; }
    void reject_input(const char *why) override {
        std::string().swap(input_); // frees its memory while the connection is being closed
        reader_ = Reader();
        reply(fmt::format("-ERR Protocol error: {}\r\n", why));
    }
    std::optional<std::string> partial_input() const override { return reader_.unfinished() + input_; }
    const char *front_name() const override { return "resp"; }
    void reject_command(const char *why) { // well-formed RESP, but not a valid request
        pause_reading_ = true;
        if (++invalid_commands_ >= kMaxInvalidCommands)
            throw Malformed("too much of no use");
        reply(fmt::format("-ERR {}\r\n", why));
    }

    void handle_command(Value &&value, Micros received_at) {
        if (value.kind != Value::Kind::Array || value.null || value.elements.empty())
            throw Malformed("expected an array of bulk strings");
        for (const Value &word : value.elements)
            if (word.kind != Value::Kind::Bulk || word.null)
                throw Malformed("expected an array of bulk strings");
        const std::string name = to_upper(value.elements.front().text);
        if (name == "PING")
            return reply(services_.quiesced ? "-ERR draining\r\n" : "+PONG\r\n");
        if (name == "CLIENT" || name == "SELECT")
            return reply("+OK\r\n");
        if (name == "QUIT") {
            reading_finished_ = true;
            client_.note_close_reason(CloseReason::Quit);
            return reply("+OK\r\n");
        }
        if (name != "OBJ.GET" && name != "OBJ.PUT")
            return reject_command("unknown command");
        try {
            core::Request request = read_request(std::move(value), services_.settings);
            request.received_at = received_at; // at the last byte: slow writes use up no time
            submit_request(std::move(request));
        } catch (const Malformed &error) {
            const std::uint64_t count = ++services_.metrics.malformed_requests;
            if ((count & (count - 1)) == 0) // logs only the 1st, 2nd, 4th, 8th, ...
                core::log("a request turned away ({} so far): {}", count, error.what());
            reject_command(error.what());
        }
    }

    void submit_request(core::Request &&read) {
        if (!ids_.open(read.id))
            throw Malformed("the id of another request");
        read.refuse_immediately = client_.refuses(deadlines_.clock.now());
        client_.mark_requested();
        if (client_.use().closing)
            ++client_.requests_while_closing;
        invalid_commands_ = 0;
        read.connection_id = client_.id;
        auto request = std::make_shared<const core::Request>(std::move(read));
        core::RequestHandler &request_handler = services_.request_handler(*request);
        const std::uint64_t number = add_slot();
        slots_.back().request_handler = &request_handler;
        slots_.back().name = request->id;
        const std::weak_ptr<Session> weak = weak_from_this();
        const RequestId id =
            request_handler.submit(std::move(request), [this, weak, number](const core::Outcome &outcome) {
                const auto self = weak.lock();
                if (self)
                    answer(number, encode_reply(outcome), outcome.stream);
                else if (outcome.stream)
                    outcome.stream->abandon();
            });
        if (number >= first_slot_number_)
            slots_[number - first_slot_number_].id = id;
    }

    std::uint64_t add_slot() {
        slots_.push_back({});
        client_.add_open_request();
        return first_slot_number_ + slots_.size() - 1;
    }
    void reply(std::string bytes) { answer(add_slot(), std::move(bytes)); }

    void answer(std::uint64_t number, std::string bytes, std::shared_ptr<core::Stream> stream = nullptr) {
        if (is_disconnected())
            return stream ? stream->abandon() : void();
        Slot &slot = slots_[number - first_slot_number_];
        slot.bytes = std::move(bytes);
        slot.ready = true;
        slot.stream = std::move(stream);
        ready_bytes_ += slot.bytes.size();
        if (slot.request_handler)
            ids_.release(slot.name);
        if (!streaming_)
            flush();
        update_reservation();
    }

    // Sends the answers that are ready, in the order of the commands, up to the first streamed one.
    void flush() {
        std::string out;
        std::size_t answers = 0;
        std::shared_ptr<core::Stream> stream;
        while (!stream && !slots_.empty() && slots_.front().ready) {
            out += slots_.front().bytes;
            ready_bytes_ -= slots_.front().bytes.size();
            stream = slots_.front().stream;
            if (!stream)
                slots_.pop_front(), ++first_slot_number_, ++answers;
        }
        if (!out.empty())
            send(out, answers);
        if (!stream)
            return;
        streaming_ = true;
        asio::co_spawn(client_.socket.get_executor(), stream_value(shared_from_this(), std::move(stream)),
                       asio::detached);
    }

    // Streams a long value from a node, no faster than the client reads it. If the node breaks off, the
    // connection ends there, so that the client does not take the value for complete.
    asio::awaitable<void> stream_value([[maybe_unused]] std::shared_ptr<Session> self,
                                       std::shared_ptr<core::Stream> stream) {
        for (;;) {
            bool ended = false;
            { // frees this copy of the piece before the client has read it
                const std::string piece = co_await stream->take();
                ended = is_disconnected() || piece.empty();
                if (!ended)
                    send(piece, 0);
            }
            if (ended)
                break;
            co_await wait_flushed();
        }
        if (is_disconnected())
            co_return stream->abandon();
        if (!stream->is_complete())
            co_return end_after_output(CloseReason::BrokenValue, slots_.size());
        streaming_ = false;
        slots_.pop_front(), ++first_slot_number_;
        send("\r\n", 1);
        flush();
    }

    void on_disconnect() override {
        for (const Slot &slot : slots_) {
            if (!slot.request_handler)
                continue;
            ids_.keep(slot.name);
            if (!slot.ready || slot.stream)
                slot.request_handler->client_disconnected(slot.id);
        }
    }

    void answer_now() override {
        // A copy, as answers given meanwhile change slots_.
        std::vector<std::pair<core::RequestHandler *, RequestId>> open;
        for (const Slot &slot : slots_)
            if (slot.request_handler && !slot.ready)
                open.emplace_back(slot.request_handler, slot.id);
        for (const auto &[request_handler, id] : open)
            request_handler->answer_now(id);
    }
    bool is_streaming() const override { return streaming_; }

    core::FrontEndServices services_;
    RequestIds &ids_;
    Reader reader_;
    int invalid_commands_ = 0;            // since the last valid request
    std::size_t ready_bytes_ = 0;         // in answers that wait for earlier ones
    boost::container::deque<Slot> slots_; // takes no memory until the first request
    std::uint64_t first_slot_number_ = 0;
    bool streaming_ = false; // the answer of the first slot is being streamed
};

} // namespace

asio::awaitable<void> serve(Client &client, core::FrontEndServices services, InputTurns &turns,
                            RequestIds &ids) {
    const auto session = std::make_shared<RespSession>(client, std::move(services), turns, ids);
    co_await session->run();
}

core::Request read_request(Value &&command, const Settings &settings) {
    std::vector<Value> &words = command.elements;
    const bool write = to_upper(words[0].text) == "OBJ.PUT";
    if (words.size() != (write ? 5u : 4u))
        throw Malformed("wrong number of arguments");
    core::Request r;
    RequestArrived &f = r.arrival;
    f.write = write;
    f.key = DataKey{parse_hex16(words[1].text, "piece")};
    r.data_key = std::move(words[1].text);
    r.id = std::move(words[2].text);
    if (r.id.empty() || r.id.size() > 64)
        throw Malformed("invalid id");
    if (write)
        r.body = std::move(words[4].text);
    f.cls = f.plan = -1;
    for (std::string_view list = words[3].text; !list.empty();) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos)
            throw Malformed("invalid list of names and values");
        const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
        if (name == "c")
            f.cls = index_of(settings.classes, value, "class");
        else if (name == "t")
            f.plan = index_of(settings.plans, value, "plan");
        else if (name == "d") {
            const double ms = parse_number<double>(value, "d");
            if (!(ms >= 0 && ms < 1e9))
                throw Malformed("invalid d");
            r.timeout = std::llround(ms * 1000);
        } else if (name == "k")
            r.idempotency_key = value;
        else if (name == "r")
            f.retry = value == "1";
        else if (name == "volume")
            f.volume = VolumeId{parse_hex16(value, "volume")};
        else if (name == "units") {
            f.units = parse_number<double>(value, "units");
            if (!(f.units > 0 && f.units <= 1e6))
                throw Malformed("invalid units");
        } else if (name == "shard") {
            if (const auto shard = parse_number<std::int64_t>(value, "shard"); shard >= 0)
                f.shard = ShardId{shard};
        } else if (name == "hosts") {
            f.hosts = parse_number<int>(value, "hosts");
            if (f.hosts < 1 || f.hosts > 1'000'000)
                throw Malformed("invalid hosts");
        } else
            r.forwarded_fields.add(name, value);
    }
    if (f.cls < 0 || f.plan < 0 || r.timeout <= 0)
        throw Malformed("c, t and d are needed");
    return r;
}

} // namespace marblewood::net::resp
