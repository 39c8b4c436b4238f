// marblewood: the broker. src/app/ reads the command line and wires the parts for each command.
#include "app/app.hpp"

int main(int argc, char **argv) {
    return marblewood::app::command(argc, argv);
}
