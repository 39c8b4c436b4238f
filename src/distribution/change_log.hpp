// The list of members (storage nodes) with the revision at which each changed last: who is behind gets what
// changed since, each entry in its last state. Free of I/O and clock.
//
// Bounds promised.
// - revision() never goes back; an update that is older, or not newer where it changes something, is refused
//   and changes nothing.
// - Memory: one row for each listed member and one for each of the `most_removed` members removed last.
// Whoever
//   has not heard of an older removal needs the whole list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::distribution {

using Revision = std::int64_t;

enum class Phase { Up, Draining, Removed };

/// One entry. All that its source says of it beside the phase is text that is passed on unread.
struct Member {
    std::string id;
    std::string text;
    Phase phase = Phase::Up;
    std::int64_t shard = 0; ///< that it holds
};

/// What a source answered: all members, or those that changed since the revision that was asked for.
struct Update {
    Revision revision = 0;
    bool complete = false;
    std::vector<Member> members;
};

enum class Taken { Yes, Older };

/// What one who holds a list lacks. The texts live as long as the log is not changed.
struct Delta {
    struct Entry {
        std::string_view text;
        Phase phase;
    };
    Revision revision = 0; ///< that the receiver holds afterwards
    bool complete = false;
    std::vector<Entry> entries;
    std::size_t bytes = 0; ///< of all entries, as entry_bytes() counts them
};

/// What an entry takes up in an answer: its text, and its phase as it is spelt around that.
constexpr std::size_t kPhaseBytes = 22;
inline std::size_t entry_bytes(std::string_view text) {
    return text.size() + kPhaseBytes;
}

class ChangeLog {
public:
    explicit ChangeLog(std::size_t most_removed) : most_removed_(most_removed) {}

    Taken take(const Update &update);

    bool empty() const { return revision_ < 0; }
    Revision revision() const { return revision_; }
    /// The oldest revision from which changes are known; whoever holds an older list needs the whole one.
    Revision oldest() const { return oldest_; }
    bool reaches(Revision since) const { return since >= oldest_; }
    std::size_t size() const { return listed_; }
    std::size_t whole_bytes() const { return whole_bytes_; }

    /// All members.
    Delta whole() const;
    /// What changed after `since`, from which the log must reach: revision by revision as long as it stays
    /// within `most_bytes`, at least one. Of what lies beyond, urgent entries (members that drain, were
    /// removed or hold another shard than before) that changed after `urgent_told` are added all the same.
    Delta changes(Revision since, std::size_t most_bytes, Revision urgent_told) const;
    /// Of what changed after `since`, the urgent entries that changed after `urgent_told` alone: the receiver
    /// holds the same revision afterwards.
    Delta urgent_changes(Revision since, Revision urgent_told) const;
    bool urgent_after(Revision since) const { return !urgent_.empty() && urgent_.rbegin()->first > since; }

private:
    struct Row {
        std::string text;
        Phase phase = Phase::Up;
        std::int64_t shard = 0;
        bool urgent = false;
        Revision changed = 0;
    };
    using Index = std::set<std::pair<Revision, std::string>>;

    static void add(Delta &delta, const Row &row);
    void put(const Member &member, Revision revision);
    void index(const std::string &id, const Row &row, bool present);
    void remove_unnamed(const Update &update);
    void forget_removed();

    std::size_t most_removed_;
    Revision revision_ = -1, oldest_ = 0;
    std::size_t listed_ = 0, whole_bytes_ = 0;
    std::map<std::string, Row> rows_;
    Index by_revision_; // all rows, by when they changed
    Index urgent_;      // of those, the urgent ones
    Index removed_;     // and the removed ones
};

} // namespace marblewood::distribution
