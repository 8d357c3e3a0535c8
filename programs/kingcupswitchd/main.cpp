/** @file main.cpp Entry point of kingcupswitchd with the default external interface. */
#include "DaemonMain.h"

int main(int argumentCount, char** arguments)
{
    return kingcup::daemonMain(argumentCount, arguments, kingcup::Edge());
}
