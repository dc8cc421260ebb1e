// The program in builds for a platform, which have the `edge` command only.

#include "utilities/wisterialane/edge_command.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argument_count, char** arguments)
{
    if (argument_count < 2 || std::string{arguments[1]} != "edge") {
        std::cerr << "usage: wisterialane edge [options]\n";
        return 2;
    }
    return wisterialane::run_edge_command({arguments + 2, arguments + argument_count});
}
