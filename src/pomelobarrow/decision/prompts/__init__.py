"""What servers keep of prompts, and which prompts belong together; imports requests and below."""
