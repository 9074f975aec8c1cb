#pragma once

// Remembers the last target of each chat, since that target has the longest cached prompt prefix for the chat's next
// turn. After an overflow to the chat's second target, the latest turns are cached there and not at the first.
//
//     RecentChats chats(65536);
//     chats.recordPlacement(chatHash, target);
//     const TargetId *last = chats.find(chatHash);   // null if not known

#include "sequoiausher/base/identifiers.h"

#include <cstddef>
#include <memory>

namespace Sequoiausher {

/** Of limited size; the chat placed longest ago is dropped first. A lost record costs only cache hits. */
class RecentChats
{
public:
    /** @param capacity how many chats are remembered, at least one; about 150 bytes each. */
    explicit RecentChats(std::size_t capacity);
    ~RecentChats();
    RecentChats(const RecentChats &) = delete;
    RecentChats &operator=(const RecentChats &) = delete;

    void recordPlacement(std::uint64_t chatHash, const TargetId &target);

    /** The chat's last target, or null if not known. Valid until the next call of recordPlacement(). */
    const TargetId *find(std::uint64_t chatHash) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
