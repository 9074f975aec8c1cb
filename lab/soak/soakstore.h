#pragma once

// A stand-in for the platform's store: lists, single values and watches, a history that can be forgotten, and moods in
// which it fails its readers.
//
//     SoakStore store(seed);
//     store.write(StandInDialect::configurationKey(), text);
//     store.setMood(StoreMood::Busy);

#include "platform/standindialect.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <QObject>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Sequoiausher {

namespace Lab {

/** How the store treats its readers. */
enum class StoreMood {
    Up,
    /** Answers nothing and closes nothing. */
    Silent,
    /** Answers 503. */
    Busy,
    Reset,
    /** Answers late. */
    Slow,
    /** Loses some answers; their connections say nothing more. */
    Losing,
    /** Sends a body, or a head, without an end. */
    PouringBody,
    PouringHead,
};

/** What keeps a list of more than one page from being read to its end. */
enum class ListFault {
    None,
    /** Each page but the first is refused as a bad call. */
    Refused,
    /** Each page is the first one. */
    Repeated,
    /** No item has a key that can be read. */
    Unkeyed,
    /** Further keys follow for ever. */
    Endless,
};

/** See above. Needs a running event loop. */
class SoakStore
{
public:
    explicit SoakStore(std::uint64_t seed);

    std::string address() const;
    /**
     * One more address of the store, whose readers see paths to targets in place of the targets' own addresses.
     * @param path gives the path to a target's address.
     */
    std::string addReader(std::function<std::string(const std::string &address)> path);
    /** Tells the store of an address that stands in the targets' entries. */
    void addTargetAddress(const std::string &address);
    void write(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void setMood(StoreMood mood);
    /** Forgets the history and cuts the watches that wait. */
    void compact();
    /** Keeps what the store has now, for a return. */
    void copy();
    /** Comes back from the copy: what was written since is lost, and its revisions are given out again. */
    void restore();
    /** The keys that the store has now. */
    std::vector<std::string> keys() const;
    void setListFault(ListFault fault);
    /** The number of calls for a page of a list, and of calls that were refused as no proper ones. */
    std::size_t listCalls() const;
    std::size_t badCalls() const;

private:
    struct Watch
    {
        FakeRequest request;
        Revision after = 0;
    };

    void handle(FakeRequest &request);
    /** Sends the piece again and again while the mood lasts. */
    void pour(const FakeRequest &request, const std::string &piece);
    void reply(const FakeRequest &request, const std::string &body);
    /** The items as the reader who asked sees them. */
    std::vector<StandInDialect::StoreItem> seenBy(const FakeRequest &request,
                                                  std::vector<StandInDialect::StoreItem> all) const;
    void refuse(const FakeRequest &request, const std::string &status) const;
    void watch(const FakeRequest &request, const StandInDialect::StoreCall &call);
    std::string range(const FakeRequest &request, const StandInDialect::StoreCall &call) const;
    /** A page that has what the fault says in place of the items. */
    std::string faultyPage() const;
    std::vector<StandInDialect::StoreItem> eventsAfter(Revision after) const;
    void changed(StandInDialect::StoreItem item);

    struct Reader
    {
        FakeServer server;
        std::function<std::string(const std::string &address)> path;
    };

    /** Timers that call this end with it. */
    QObject timers;
    FakeServer server;
    std::vector<std::unique_ptr<Reader>> readers;
    std::vector<std::string> targetAddresses;
    std::mt19937_64 random;
    StoreMood mood = StoreMood::Up;
    Revision revision = 1;
    std::map<std::string, StandInDialect::StoreItem> items;
    std::deque<StandInDialect::StoreItem> history;
    /** Changes up to this one are forgotten. */
    Revision forgotten = 0;
    std::map<std::string, StandInDialect::StoreItem> copiedItems;
    Revision copiedRevision = 1;
    std::uint64_t era = 1;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 0;
    ListFault listFault = ListFault::None;
    std::size_t listCallCount = 0;
    std::size_t badCallCount = 0;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::StoreMood> = std::to_array<NameEntry<Lab::StoreMood>>({
    {Lab::StoreMood::Up, "up"},
    {Lab::StoreMood::Silent, "silent"},
    {Lab::StoreMood::Busy, "busy"},
    {Lab::StoreMood::Reset, "reset"},
    {Lab::StoreMood::Slow, "slow"},
    {Lab::StoreMood::Losing, "losing"},
    {Lab::StoreMood::PouringBody, "pouring-body"},
    {Lab::StoreMood::PouringHead, "pouring-head"},
});

template<>
inline constexpr auto nameTable<Lab::ListFault> = std::to_array<NameEntry<Lab::ListFault>>({
    {Lab::ListFault::None, "none"},
    {Lab::ListFault::Refused, "refused"},
    {Lab::ListFault::Repeated, "repeated"},
    {Lab::ListFault::Unkeyed, "unkeyed"},
    {Lab::ListFault::Endless, "endless"},
});

} // namespace Sequoiausher
