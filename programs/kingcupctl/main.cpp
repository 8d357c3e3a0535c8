/** @file main.cpp Entry point of kingcupctl. */

int main()
{
    return 0;
}
