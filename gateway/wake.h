#ifndef CW_GATEWAY_WAKE_H
#define CW_GATEWAY_WAKE_H
/*
    Notices that the machine was suspended, in the first turn of the loop after it and before any event of that turn is
    handled. The loop's own timers leave that time out: whoever has one must look at the clock again.
*/
#include <ev.h>
#include <stdint.h>

typedef struct wake_t {
    struct ev_loop* loop;
    void (*on_wake)(void* user_data, int64_t suspended_ms);
    void* user_data;
    ev_check check;
    int64_t seen_ms; /* suspended time that is known */
} wake_t;

void wake_setup(wake_t* w, struct ev_loop* loop, void (*on_wake)(void* user_data, int64_t suspended_ms),
                void* user_data);
void wake_shutdown(wake_t* w);

#endif
