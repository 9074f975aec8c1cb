#pragma once

// A TCP relay between two parts of a lab, by which a test cuts, silences or slows the connections between them.
//
//     Relay relay({"127.0.0.1", 7301}, {"127.0.0.1", 7201});
//     relay.setLink({LinkMode::Silent, Millis{}});

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

namespace Lab {

/** What becomes of the bytes. */
enum class LinkMode {
    Pass,
    /** Open connections are reset and new ones are closed at once. */
    Cut,
    /** Every connection stays open and what is sent over it is swallowed, in both directions. */
    Silent,
    /** The same for what comes back alone: what is sent arrives, and no answer does. */
    OneWay,
    /** The connections open now go silent for good while new ones work. */
    SilentOpen,
    /** Bytes arrive later by the link's delay. */
    Delay,
};

/** How a relay treats its connections. */
struct Link
{
    LinkMode mode = LinkMode::Pass;
    /** With LinkMode::Delay: how much later. */
    Millis delay;
};

/** An address and a port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/** Reads ADDRESS:PORT; std::nullopt where text is not that. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** The endpoint as ADDRESS:PORT. */
std::string toText(const Endpoint &endpoint);

/** One listening address and where its connections lead. Needs a running event loop. */
class Relay
{
public:
    /** Listens; port 0 picks a free one. @throws Error(Step::Listen) where that fails. */
    Relay(const Endpoint &listen, const Endpoint &to);
    ~Relay();

    /** Where it listens, with the port that was picked. */
    Endpoint listening() const;

    /**
     * Takes effect for open and new connections. A connection that swallowed bytes stays silent for good, also when
     * the link passes again: a stream with a hole in it must never reach the other end.
     */
    void setLink(const Link &link);

    /**
     * Whether new connections are accepted; otherwise they are refused, as where nothing listens at the far end. Needs
     * a port that stays reserved meanwhile. @throws Error(Step::Listen)
     */
    void setListening(bool on);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Lab

template<>
inline constexpr auto nameTable<Lab::LinkMode> = std::to_array<NameEntry<Lab::LinkMode>>({
    {Lab::LinkMode::Pass, "pass"},
    {Lab::LinkMode::Cut, "cut"},
    {Lab::LinkMode::Silent, "silent"},
    {Lab::LinkMode::OneWay, "one_way"},
    {Lab::LinkMode::SilentOpen, "silent_open"},
    {Lab::LinkMode::Delay, "delay"},
});

} // namespace Sequoiausher
