#pragma once

// `sequoiausher drain`: requests a planned stop of one router and optionally waits until it has stopped.
//
//     sequoiausher drain --router 127.0.0.1:7401 --wait

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Exits with Ok if the router accepted the request and, with --wait, has stopped; with Failed otherwise. */
class DrainCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
