/** @file main.cpp Entry point of kingcupswitchd. */

int main()
{
    return 0;
}
