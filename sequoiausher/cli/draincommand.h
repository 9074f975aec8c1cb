#pragma once

// `sequoiausher drain`: orders one router to a planned stop, and waits for its end where asked.
//
//     sequoiausher drain --router 127.0.0.1:7401 --wait

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where the order was taken (and, with --wait, the router stopped), and Failed where it was not. */
class DrainCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
