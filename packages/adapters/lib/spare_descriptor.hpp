// A descriptor that is kept for a connection while no other is free.
#pragma once

#include <fcntl.h>
#include <unistd.h>

namespace sycamorelock::adapters
{

class spare_descriptor
{
  public:
    spare_descriptor() { renew(); }
    ~spare_descriptor()
    {
        if (number_ >= 0)
            close(number_);
    }
    spare_descriptor(const spare_descriptor&) = delete;
    spare_descriptor& operator=(const spare_descriptor&) = delete;

    /// Frees it for the next socket. Without one, takes one if it can, so that
    /// the next call may free it, and returns false.
    bool release()
    {
        if (number_ < 0)
        {
            renew();
            return false;
        }
        close(number_);
        number_ = -1;
        return true;
    }

    /// Takes one if it has none and one is free.
    void renew()
    {
        if (number_ < 0)
            number_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
    }

  private:
    int number_ = -1;
};

} // namespace sycamorelock::adapters
