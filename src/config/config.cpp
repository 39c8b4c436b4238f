#include "config/config.hpp"

#include "config/schema.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

namespace marblewood::config {

Config read_config(const Json::Value &root) {
    Config c;
    c.file = root;
    c.name = need_text(root, "name");
    c.listen = need_text(root, "listen");
    c.discovery = text_or(root, "discovery", "");
    c.peer_listen = text_or(root, "peer_listen", "");
    c.peers_all = text_or(root, "peers_all", "");
    c.control = text_or(root, "control", "");
    if (root.isMember("peers"))
        for (const Json::Value &peer : root["peers"]) {
            if (!peer.isString())
                throw Error("field 'peers' is not a list of addresses");
            c.peers.push_back(peer.asString());
        }
    std::uint64_t seed = 0;
    if (const std::string text = text_or(root, "seed", "0");
        std::from_chars(text.data(), text.data() + text.size(), seed, 16).ptr != text.data() + text.size())
        throw Error("field 'seed' is not a hexadecimal number");
    if (root.isMember("limits")) {
        c.sockets = static_cast<int>(integer_or(root["limits"], "sockets", 1024));
        c.memory_mb = static_cast<std::size_t>(integer_or(root["limits"], "memory_mb", 192));
    }
    if (c.memory_mb < 16 || c.memory_mb > 1 << 20)
        throw Error("field 'limits.memory_mb' is not from 16 to 1048576");
    if (c.sockets < 64)
        throw Error("field 'limits.sockets' is below 64, which is too few to serve");
    if (root.isMember("known"))
        c.known = root["known"];
    c.settings = read_settings(need(root, "settings"), seed);
    try {
        Scheduler probe(c.settings); // throws if the settings contradict each other
    } catch (const std::invalid_argument &error) {
        throw Error(std::string("field 'settings': ") + error.what());
    }
    // Without discovery, the broker uses the nodes in `known`, and a reload may add discovery later. With
    // neither, it would have no nodes.
    if (c.discovery.empty() && (!c.known.isObject() || c.known["members"].empty()))
        throw Error("field 'discovery' is missing, and 'known' has no nodes to use without it");
    return c;
}

std::string read_text(const std::string &path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw Error("cannot read " + path);
    return text.str();
}

Config load(const std::string &path) {
    return read_config(parse(read_text(path)));
}

Operator load_operator(const std::string &path) {
    Operator op;
    if (path.empty())
        return op;
    const std::string text = read_text(path);
    const Json::Value root = parse(text);
    validate(root, text, kOperatorSchema);
    const std::int64_t dispatchers = integer_or(root, "planners", 1);
    if (dispatchers < 1 || dispatchers > 64)
        throw Error("field 'planners' is not from 1 to 64");
    op.dispatchers = static_cast<int>(dispatchers);
    op.lends = flag_or(root, "lend_limits", false);
    op.nvme = root["nvme"];
    op.otlp = root["otlp"];
    op.cells = root["cells"];
    op.distribution = root["distribution"];
    return op;
}

} // namespace marblewood::config
