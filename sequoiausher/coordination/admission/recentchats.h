#pragma once

// Where each chat was last placed, so that its next turn finds the longest cached prompt prefix there. A chat that once
// overflowed to its second engine has its latest turns cached there, not at its first.
//
//     RecentChats chats(65536);
//     chats.placed(chatHash, target);
//     const TargetId *last = chats.find(chatHash);   // null where not known

#include "sequoiausher/base/identifiers.h"

#include <cstddef>
#include <memory>

namespace Sequoiausher {

/** A memory of limited size; the chat placed longest ago is forgotten first. Losing it costs cache hits only. */
class RecentChats
{
public:
    /** @param capacity how many chats are remembered, at least one; about 150 bytes each. */
    explicit RecentChats(std::size_t capacity);
    ~RecentChats();
    RecentChats(const RecentChats &) = delete;
    RecentChats &operator=(const RecentChats &) = delete;

    void recordPlacement(std::uint64_t chatHash, const TargetId &target);

    /** Valid until the next call of placed(). */
    const TargetId *find(std::uint64_t chatHash) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
