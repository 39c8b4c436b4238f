#include "net/fleet.hpp"

#include "net/address.hpp"

namespace marblewood::net {

void Fleet::told(const discovery::Reading &reading) {
    for (const auto &[node, at] : reading.addresses) {
        const auto where = endpoint<tcp::endpoint>(at);
        if (!where) continue;
        const auto special = mapping_.nodes.find(names_.text(static_cast<std::uint32_t>(node)));
        if (special == mapping_.nodes.end()) {
            resp_port_.place(node, *where);
        } else {
            nvme_port_.place(node, *where, special->second);
            ports_.set(node, nvme_port_);
        }
    }
    tell(roster_.lay(reading.update));
    // Nodes are replaced for as long as this runs: those that are gone, with nothing out there, are
    // forgotten. One that is out by hand stays so if it is listed again.
    names_.forget_if([&](std::uint32_t number) {
        const NodeId node{number};
        if (roster_.cordoned(node)) return false;
        for (const auto &planner : planners_)
            if (planner->knows(node)) return false;
        resp_port_.forget(node);
        nvme_port_.forget(node);
        ports_.forget(node);
        return true;
    });
}

void Fleet::tell(const ListUpdate &update) {
    for (const auto &planner : planners_) planner->list(update);
}

std::optional<NodeId> Fleet::find(const std::string &id) const {
    const auto number = names_.find(id);
    if (!number || !(roster_.listed(NodeId{*number}) || roster_.cordoned(NodeId{*number})))
        return std::nullopt;
    return NodeId{*number};
}
bool Fleet::cordon(const std::string &id) {
    const auto node = find(id);
    if (node) tell(roster_.cordon(*node));
    return node.has_value();
}
bool Fleet::uncordon(const std::string &id) {
    const auto node = find(id);
    if (node) tell(roster_.uncordon(*node));
    return node.has_value();
}

std::size_t Fleet::avoided() const {
    return static_cast<std::size_t>(
        std::count_if(roster_.entries().begin(), roster_.entries().end(), [&](const auto &listed) {
            return std::any_of(planners_.begin(), planners_.end(),
                               [&](const auto &planner) { return planner->avoids(listed.first); });
        }));
}
std::size_t Fleet::open() const {
    std::size_t all = 0;
    for (const auto &planner : planners_) all += planner->open();
    return all;
}

} // namespace marblewood::net
