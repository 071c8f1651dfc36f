#ifndef CW_GATEWAY_WAKE_H
#define CW_GATEWAY_WAKE_H
/*
    Detects that the machine was suspended, in the first iteration of the loop after it and before any other event of
    that iteration. The timers of the loop don't count suspended time, so on_wake must check everything that has a
    deadline against the clock.
*/
#include <ev.h>
#include <stdint.h>

typedef struct wake_t {
    struct ev_loop* loop;
    void (*on_wake)(void* user_data, int64_t suspended_ms);
    void* user_data;
    ev_check check;
    int64_t reported_ms; /* total suspended time when on_wake was last called */
} wake_t;

void wake_setup(wake_t* w, struct ev_loop* loop, void (*on_wake)(void* user_data, int64_t suspended_ms),
                void* user_data);
void wake_shutdown(wake_t* w);

#endif
