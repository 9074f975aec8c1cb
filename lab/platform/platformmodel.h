#pragma once

// The stand-in for the platform's configuration service, without its sockets: documents under one revision count,
// waiting watches, an outage, a stale time, and a list of instances and targets that lags behind.
//
//     PlatformModel platform;
//     platform.put("rules/fleet", text, now);
//     if (const auto listing = platform.watch(WatchNumber{1}, after, deadline, now)) { ... answer at once ... }
//     platform.advance(now);
//     for (const WatchAnswer &answer : platform.takeAnswers()) { ... }

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/state/documents/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** How the service behaves towards its readers. */
enum class PlatformMode {
    Up,
    /** Each call, also a waiting watch, loses its connection without an answer. */
    Down,
    /** Answers show the state at the time of the switch, for as long as the mode lasts. */
    Stale,
};

/** What kind of read a call was. */
enum class ReadKind {
    List,
    Get,
    Watch,
};

/** One row of a listing. */
struct ListedDocument
{
    std::string name;
    Revision revision = 0;
    bool deleted = false;

    bool operator==(const ListedDocument &) const = default;
};

/** The documents above some revision, and the highest revision there is. */
struct Listing
{
    Revision revision = 0;
    std::vector<ListedDocument> documents;
};

/** Numbers the waiting watches; given by the caller. */
using WatchNumber = std::uint64_t;

/** The end of a waiting watch; without a listing its connection is to be closed. */
struct WatchAnswer
{
    WatchNumber watch = 0;
    std::optional<Listing> listing;
};

/** Counts of calls. A waiting watch counts once. */
struct ReadCounts
{
    std::uint64_t lists = 0;
    std::uint64_t gets = 0;
    std::uint64_t watches = 0;
    /** The calls among these that came while the service was down. */
    std::uint64_t refused = 0;
    std::size_t waiting = 0;
    /** The mean over the last ten whole seconds. */
    double perSecond = 0;
    /** The most within one second. */
    std::uint64_t peakPerSecond = 0;
};

/** The service. Time passed in must not step back. */
class PlatformModel
{
public:
    PlatformModel();
    ~PlatformModel();

    /** Publishes a text. Of the instances and targets/... it becomes visible after the list lag. */
    void put(const std::string &name, const std::string &text, Millis now);

    /** Takes a document away, with the same lag; false where there was none. */
    bool erase(const std::string &name, Millis now);

    /** The newest text put under name, visible yet or not; for lab edits. */
    std::optional<std::string> newest(const std::string &name) const;

    /** Switching to Down ends the waiting watches without an answer. */
    void setMode(PlatformMode mode, Millis now);
    PlatformMode mode() const;
    void setListLag(Millis lag);

    /** Counts a call. @return whether it is to be answered. */
    bool countRead(ReadKind kind, Millis now);

    /** The documents with a revision above after, as readers see them now; taken-away ones are marked. */
    Listing list(Revision after) const;

    /** A document as readers see it now; std::nullopt where there is none or it was taken away. */
    std::optional<Document> get(const std::string &name) const;

    /** The listing, where there is something above after already; otherwise watch waits for advance(). */
    std::optional<Listing> watch(WatchNumber watch, Revision after, Millis deadline, Millis now);

    /** The reader of watch is gone. */
    void forgetWatch(WatchNumber watch);

    /** Lets lagged documents become visible and ends watches, by new documents or at their deadline. */
    void advance(Millis now);

    /** When advance() is next due; Millis::never() where nothing waits. */
    Millis nextDue() const;

    /** The watches that ended since the last call. */
    std::vector<WatchAnswer> takeAnswers();

    ReadCounts reads(Millis now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/**
 * Sets `state` in the section `[target NAME]` of a targets/POOL document, or adds the line; all else stays as it is.
 * @return std::nullopt where text has no such section.
 */
std::optional<std::string>
withTargetState(const std::string &text, const std::string &target, const std::string &state);

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::PlatformMode> = std::to_array<NameEntry<Lab::PlatformMode>>({
    {Lab::PlatformMode::Up, "up"},
    {Lab::PlatformMode::Down, "down"},
    {Lab::PlatformMode::Stale, "stale"},
});

} // namespace Sequoiausher
