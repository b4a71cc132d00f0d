"""The users' platform: translates its wire, store, settings and names into foxwinch's own."""
