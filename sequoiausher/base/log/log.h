#pragma once

// The log of a process: short constant messages, each with the name of the part that writes it, and fields for all that
// varies. Lines are written to standard error. A message that repeats too often is suppressed and counted.
//
//     Log log(LogSettings{});
//     log.warning(LogPart::Claims, "too few witnesses answered", {{"have", "2"}, {"need", "4"}});
//     // 2026-03-01T08:15:30.125Z warning claims: too few witnesses answered have=2 need=4
//
// Put all that varies into fields: repeats are recognised by part and message.

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The part of the process that writes; its name is the prefix of its messages. */
enum class LogPart {
    Main,
    Entry,
    Claims,
    Admission,
    Members,
    Config,
    Peers,
    Targets,
    Limits,
    Answers,
    Platform,
    Lab,
};

template<>
inline constexpr auto nameTable<LogPart> = std::to_array<NameEntry<LogPart>>({
    {LogPart::Main, "main"},
    {LogPart::Entry, "entry"},
    {LogPart::Claims, "claims"},
    {LogPart::Admission, "admission"},
    {LogPart::Members, "members"},
    {LogPart::Config, "config"},
    {LogPart::Peers, "peers"},
    {LogPart::Targets, "targets"},
    {LogPart::Limits, "limits"},
    {LogPart::Answers, "answers"},
    {LogPart::Platform, "platform"},
    {LogPart::Lab, "lab"},
});

/** The severity of a message, in ascending order. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

template<>
inline constexpr auto nameTable<LogLevel> = std::to_array<NameEntry<LogLevel>>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
});

/** The format of a line. */
enum class LogFormat {
    /** Time, level, part and message, followed by key=value pairs. */
    Text,
    /** One JSON object per line. */
    Json,
};

template<>
inline constexpr auto nameTable<LogFormat> = std::to_array<NameEntry<LogFormat>>({
    {LogFormat::Text, "text"},
    {LogFormat::Json, "json"},
});

/** A value that varies from line to line. */
struct LogField
{
    std::string name;
    std::string value;
};

/** The levels that are written, their format and their limit. */
struct LogSettings
{
    LogLevel lowest = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    /** The maximum number of equal messages of one part in each repeatInterval; 0 means no limit. */
    std::uint32_t repeatsPerInterval = 10;
    Millis repeatInterval{10000};
};

/** Writes lines. Thread-safe. */
class Log
{
public:
    using Clock = std::function<Millis()>;

    /** Writes to standard error, with wall-clock times. */
    explicit Log(const LogSettings &settings);
    /**
     * Writes to the stream, which must outlive the log.
     * @param clock returns the milliseconds since 1970; may be called on any thread.
     */
    Log(const LogSettings &settings, std::ostream &stream, Clock clock);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    /** Whether lines of this level are written; to be checked before expensive fields are computed. */
    bool isOn(LogLevel level) const;

    void write(LogPart part, LogLevel level, std::string_view sentence, const std::vector<LogField> &fields = {}) const;

    void debug(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void info(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void warning(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;
    void error(LogPart part, std::string_view sentence, const std::vector<LogField> &fields = {}) const;

    /**
     * Writes the counts of suppressed messages whose interval has ended. Otherwise the count of a burst would be
     * written only when the message occurs again. To be called every few seconds; the destructor writes the remaining
     * counts.
     */
    void writeSuppressed() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
